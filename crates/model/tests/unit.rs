//! Quantities are parsed with their units, and parse back unchanged from their text.

use model::unit::{Rate, Size, Span, UnitError};
use proptest::prelude::*;
use test_case::test_case;

#[test_case("250us", 250)]
#[test_case("5 ms", 5_000)]
#[test_case("10s", 10_000_000)]
#[test_case("2min", 120_000_000)]
fn parses_spans(text: &str, us: u64) {
    assert_eq!(text.parse(), Ok(Span::from_micros(us)));
}

#[test_case("10"; "no unit")]
#[test_case("10 parsecs"; "unknown unit")]
fn rejects_units(text: &str) {
    assert!(matches!(text.parse::<Span>(), Err(UnitError::Unit { .. })));
}

#[test_case("ms"; "no number")]
#[test_case("99999999999999999999s"; "too many digits")]
#[test_case("9999999999999999h"; "overflow")]
fn rejects_numbers(text: &str) {
    assert!(matches!(text.parse::<Span>(), Err(UnitError::Number(_))));
}

proptest! {
    #[test]
    fn display_parses_back(n in 0_u64..1 << 50) {
        let span = Span::from_micros(n);
        prop_assert_eq!(span.to_string().parse(), Ok(span));
        let size = Size::from_bytes(n);
        prop_assert_eq!(size.to_string().parse(), Ok(size));
        let rate = Rate::from_bytes_per_second(n);
        prop_assert_eq!(rate.to_string().parse(), Ok(rate));
    }
}
