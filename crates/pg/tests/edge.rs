//! Whatever a stranger sends, the decoders answer with a value or a typed error.

use bytes::BytesMut;
use pg::classify::{self, Effect};
use pg::scram::{Server, Verifier};
use pg::{frame, marks};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Limit of a message in these tests; a longer one is refused by its header.
const LIMIT: usize = 64;

fn config() -> Config {
    let cases = std::env::var("POMELO_FUZZ_CASES").ok();
    Config {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        cases: cases.and_then(|n| n.parse().ok()).unwrap_or(512),
        ..Config::default()
    }
}

/// Statements without any comment or quote.
fn plain() -> impl Strategy<Value = String> {
    let pieces = prop::sample::select(vec![
        "SELECT 1",
        ";",
        "\n",
        " FOR UPDATE",
        "WITH x AS (",
        ")",
        "é",
        " ",
    ]);
    prop::collection::vec(pieces, 0..8).prop_map(|pieces| pieces.concat())
}

/// Pieces of statements that meet the seams of comments, quotes and keywords.
fn statement() -> impl Strategy<Value = String> {
    let pieces = prop::sample::select(vec![
        "SELECT 1",
        "INSERT INTO t VALUES (1)",
        "--",
        "/*",
        "*/",
        "'",
        "\"",
        "$$",
        "$a$",
        ";",
        "\n",
        " FOR UPDATE",
        "WITH x AS (",
        ")",
        "max_age='5s'",
        "once='true'",
        "\\",
        "E'",
        "é",
        "\0",
    ]);
    prop::collection::vec(pieces, 0..8).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn frames_stay_within_the_limit(raw in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut buf = BytesMut::from(&raw[..]);
        while let Ok(Some(frame)) = frame::take(&mut buf, LIMIT) {
            prop_assert!(frame.body().len() <= LIMIT);
        }
    }

    #[test]
    fn marks_take_any_statement(sql in statement()) {
        if let Ok((bare, _)) = marks::split(&sql) {
            prop_assert!(sql.contains(bare));
        }
    }

    /// A statement with an `INSERT` outside of every comment and quote must not pass for
    /// a read: it would run on a replica, or be sent twice.
    #[test]
    fn an_insert_beside_anything_is_a_write(before in plain(), after in statement()) {
        let sql = format!("{before};INSERT INTO t VALUES (1);{after}");
        prop_assert_eq!(classify::classify(&sql).effect, Effect::Write);
    }

    #[test]
    fn password_exchange_takes_any_message(message in prop::collection::vec(any::<u8>(), 0..80)) {
        let verifier = Verifier::derive("secret", b"salt salt", 1);
        if let Ok((server, _)) = Server::first(verifier, &message) {
            prop_assert!(server.finish(&message).is_err());
        }
    }
}
