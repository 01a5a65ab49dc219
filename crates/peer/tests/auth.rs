//! Tests of signatures, replay protection and decoding.

use peer::auth::{AuthError, Envelope, Key, MAX_NONCES, Nonce, ReplayWindow, WINDOW_MS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: u64 = 1_700_000_000_000;

fn envelope(n: u64) -> Envelope<'static> {
    let mut nonce = [0; 16];
    nonce[..8].copy_from_slice(&n.to_be_bytes());
    Envelope {
        method: "POST",
        path: "/peer/heartbeat",
        time_ms: NOW,
        nonce: Nonce(nonce),
        trace: "",
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_altered_byte_is_rejected(body in prop::collection::vec(any::<u8>(), 1..64), at: prop::sample::Index, flip in 1_u8..) {
        let key = Key::new(b"fleet");
        let tag = key.sign_request(&envelope(1), &body);
        prop_assert_eq!(key.verify_request(&envelope(1), &body, &tag), Ok(()));
        let mut altered = body.clone();
        altered[at.index(body.len())] ^= flip;
        prop_assert_eq!(key.verify_request(&envelope(1), &altered, &tag), Err(AuthError::Mismatch));
        let other = Key::new(b"another fleet");
        prop_assert_eq!(other.verify_request(&envelope(1), &body, &tag), Err(AuthError::Mismatch));
    }
}

/// Otherwise the signature of one request would also be valid for another path.
#[test]
fn a_signature_covers_path_time_nonce_and_trace() {
    let key = Key::new(b"fleet");
    let tag = key.sign_request(&envelope(1), b"body");
    let altered = [
        Envelope {
            path: "/peer/records",
            ..envelope(1)
        },
        Envelope {
            time_ms: NOW + 1,
            ..envelope(1)
        },
        Envelope {
            trace: "00-1",
            ..envelope(1)
        },
        envelope(2),
    ];
    for envelope in altered {
        let result = key.verify_request(&envelope, b"body", &tag);
        assert_eq!(result, Err(AuthError::Mismatch));
    }
}

/// An attacker records a request and replays it: a replayed heartbeat would make a failed
/// proxy look alive. The nonce is remembered, and once it is forgotten the time is too old.
#[test]
fn a_request_is_accepted_once() {
    let mut window = ReplayWindow::default();
    assert_eq!(window.admit(NOW, &envelope(1)), Ok(()));
    assert_eq!(window.admit(NOW, &envelope(1)), Err(AuthError::Replayed));
    let late = NOW + WINDOW_MS;
    assert_eq!(window.admit(late, &envelope(1)), Err(AuthError::Replayed));
    let skew = WINDOW_MS + 1;
    let result = window.admit(NOW + skew, &envelope(1));
    assert_eq!(result, Err(AuthError::Clock(skew)));
}

#[test]
fn the_window_is_bounded_and_empties() {
    let mut window = ReplayWindow::default();
    for n in 0..MAX_NONCES as u64 {
        assert_eq!(window.admit(NOW, &envelope(n)), Ok(()));
    }
    let next = envelope(MAX_NONCES as u64);
    assert_eq!(window.admit(NOW, &next), Err(AuthError::Overload));
    let later = NOW + WINDOW_MS + 1;
    let fresh = Envelope {
        time_ms: later,
        ..next
    };
    assert_eq!(window.admit(later, &fresh), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A body from a peer of another version or from any other sender never causes a panic.
    #[test]
    fn any_body_is_decoded_or_rejected(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = peer::codec::decode::<peer::status::Status>(&body);
        let _ = peer::codec::decode::<Vec<(String, u64)>>(&body);
    }
}
