//! Which points a log holds before and after a promotion.

use model::position::{Coverage, History, Point, Position};
use test_case::test_case;

// Term 1 wrote up to position 10, then term 3 started.
fn history() -> History {
    "1:0,3:10".parse().unwrap()
}

#[test_case(Point::new(1, 10), 12 => Coverage::Held; "last record before the fork")]
#[test_case(Point::new(1, 11), 12 => Coverage::Forked; "discarded by the promotion")]
#[test_case(Point::new(3, 12), 12 => Coverage::Held; "the last record")]
#[test_case(Point::new(3, 13), 12 => Coverage::NotYet; "not yet received")]
#[test_case(Point::new(4, 11), 12 => Coverage::NotYet; "a promotion not yet known")]
#[test_case(Point::new(2, 9), 12 => Coverage::Forked; "a term without records")]
#[test_case(Point::new(9, 0), 0 => Coverage::Held; "a session without writes")]
fn covers(point: Point, end: u64) -> Coverage {
    history().covers(point, Position(end))
}

#[test_case("1:0,1:5"; "a term twice")]
#[test_case("2:0,1:5"; "terms descend")]
#[test_case("1:5,2:4"; "positions descend")]
#[test_case("1"; "no position")]
fn rejects_invalid_history(text: &str) {
    assert!(text.parse::<History>().is_err());
}
