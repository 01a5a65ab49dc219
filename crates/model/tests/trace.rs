//! Parsing and formatting of W3C trace contexts.

use model::trace::Context;
use test_case::test_case;

#[test]
fn a_context_is_parsed_unchanged() {
    let cx = Context::new(0x0af7_6519_16cd_43dd, 0xb7ad_6b71, true);
    assert_eq!(cx.to_string().parse(), Ok(cx));
    assert_eq!(cx.child(7).trace, cx.trace);
}

#[test_case("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true; "version 0")]
#[test_case("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more", true; "a later version may have more fields")]
#[test_case("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more", false; "version 0 may not")]
#[test_case("00-00000000000000000000000000000000-b7ad6b7169203331-01", false; "zero trace")]
#[test_case("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", false; "upper case")]
#[test_case("00-0af7651916cd43dd-b7ad6b7169203331-01", false; "short trace")]
#[test_case("ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false; "version 255")]
fn only_well_formed_contexts_are_accepted(text: &str, accepted: bool) {
    assert_eq!(text.parse::<Context>().is_ok(), accepted);
}
