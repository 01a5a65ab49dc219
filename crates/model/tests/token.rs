//! Session tokens are decoded unchanged; altered and foreign ones are rejected.

use model::id::{CallerId, GroupId};
use model::position::Point;
use model::token::{Key, Session, TokenError};
use proptest::prelude::*;

fn caller(name: &str) -> CallerId {
    name.parse().unwrap()
}

fn group(n: u8) -> GroupId {
    format!("group-{n}").parse().unwrap()
}

proptest! {
    #[test]
    fn decodes_what_it_encoded(points in prop::collection::vec((0_u8..8, 1_u64..9, 0_u64..1000), 0..20)) {
        let key = Key::new(b"secret");
        let mut session = Session::default();
        for (n, term, position) in points {
            session.advance(&group(n), Point::new(term, position));
        }
        let text = session.encode(&caller("broker"), &key);
        prop_assert_eq!(Session::decode(&text, &caller("broker"), &key), Ok(session));
    }

    #[test]
    fn any_altered_byte_is_rejected(at in 0_usize..40, with in "[A-Za-z0-9_-]") {
        let key = Key::new(b"secret");
        let mut session = Session::default();
        session.advance(&group(1), Point::new(3, 77));
        let text = session.encode(&caller("broker"), &key);
        let at = at % text.len();
        let mut altered = text.clone();
        altered.replace_range(at..=at, &with);
        if altered != text {
            prop_assert!(Session::decode(&altered, &caller("broker"), &key).is_err());
        }
    }
}

#[test]
fn another_callers_token_is_rejected() {
    let key = Key::new(b"secret");
    let text = Session::default().encode(&caller("broker"), &key);
    let decoded = Session::decode(&text, &caller("auditor"), &key);
    assert_eq!(decoded, Err(TokenError::OtherCaller));
}

#[test]
fn another_fleets_token_is_rejected() {
    let text = Session::default().encode(&caller("broker"), &Key::new(b"ours"));
    let decoded = Session::decode(&text, &caller("broker"), &Key::new(b"theirs"));
    assert_eq!(decoded, Err(TokenError::Signature));
}
