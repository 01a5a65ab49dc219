//! Framing, start-up packets, marks and SCRAM.

use bytes::{BufMut as _, BytesMut};
use model::unit::Span;
use pg::frame::{self, FrameError, Piece};
use pg::startup::{self, Startup, StartupError};
use pg::{marks, scram, tag};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use test_case::test_case;

fn row(len: usize) -> Vec<u8> {
    let mut raw = vec![tag::DATA_ROW];
    raw.put_u32(len as u32 + 4);
    raw.resize(len + 5, b'x');
    raw
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    /// However the bytes arrive, the pieces join to the same stream.
    #[test]
    fn pieces_join_to_the_stream(lens in prop::collection::vec(0usize..40_000, 1..6), step in 1usize..20_000) {
        let mut all: Vec<u8> = lens.iter().flat_map(|n| row(*n)).collect();
        all.extend_from_slice(&[tag::READY, 0, 0, 0, 5, b'I']);
        let (mut buf, mut out) = (BytesMut::new(), Vec::new());
        let mut splitter = frame::Splitter::default();
        for chunk in all.chunks(step) {
            buf.extend_from_slice(chunk);
            while let Some(piece) = splitter.take(&mut buf, 100).unwrap() {
                match piece {
                    Piece::Frame(f) => out.extend_from_slice(&f.raw),
                    Piece::Data { raw, .. } => out.extend_from_slice(&raw),
                }
            }
        }
        prop_assert!(out == all);
        prop_assert!(!splitter.inside());
    }

    /// Random bytes never panic the start-up parser.
    #[test]
    fn startup_takes_any_bytes(raw in prop::collection::vec(any::<u8>(), 0..64)) {
        let _ = startup::take(&mut BytesMut::from(&raw[..]));
    }
}

#[test]
fn long_messages_are_refused_by_their_header() {
    let mut buf = BytesMut::from(&[b'Q', 0, 1, 0, 0][..]);
    let error = frame::take(&mut buf, 1_000).unwrap_err();
    assert_eq!(
        error,
        FrameError::TooLong {
            found: 65_536,
            limit: 1_000
        }
    );
}

#[test_case(&[0, 0, 0, 7, 0], StartupError::Length(7); "too short")]
#[test_case(&[0, 1, 0, 0], StartupError::Length(65_536); "too long")]
#[test_case(&[0, 0, 0, 8, 0, 2, 0, 0], StartupError::Version(2, 0); "old protocol")]
#[test_case(&[0, 0, 0, 9, 0, 3, 0, 0, b'u'], StartupError::Malformed; "no end")]
fn bad_startup(raw: &[u8], expected: StartupError) {
    assert_eq!(
        startup::take(&mut BytesMut::from(raw)).unwrap_err(),
        expected
    );
}

#[test]
fn startup_options() {
    let mut session = startup::Session::default();
    let options = "-c pomelo.max_age=5s --pomelo.class=lookup -cpomelo.session=a\\ b";
    session.params.insert("options".into(), options.into());
    let raw = startup::encode(&session.params);
    let Some(Startup::Session(read)) = startup::take(&mut BytesMut::from(&raw[..])).unwrap() else {
        panic!("a session was encoded");
    };
    let names: Vec<_> = read.options().into_iter().map(|(_, value)| value).collect();
    assert_eq!(names, ["5s", "lookup", "a b"]);
}

#[test]
fn marks_are_read() {
    let (body, marks) =
        marks::split("SELECT 1 /*max_age='5s',once='true',route='%2Fa'*/;").unwrap();
    assert_eq!(body, "SELECT 1 ");
    assert_eq!(marks.max_age, Some(Span::from_millis(5_000)));
    assert_eq!(marks.once, Some(true));
    marks::split("SELECT 1 /*once='perhaps'*/").unwrap_err();
}

// A comment that is not only marks stays part of the text that is classified:
// here its line end would turn its rest into a statement.
#[test_case("SELECT 1 --/*\n; DELETE FROM t; --*/")]
#[test_case("SELECT 1 --/*a='\n; DELETE FROM t; --'*/")]
#[test_case("SELECT '/*' || 'a*/")]
fn other_comments_stay(sql: &str) {
    assert_eq!(marks::split(sql).unwrap().0, sql);
}

#[test]
fn scram_round_trip() {
    let verifier = scram::Verifier::derive("secret", b"0123456789abcdef", 4_096);
    let verifier: scram::Verifier = verifier.to_string().parse().unwrap();
    for (password, right) in [("secret", true), ("guess", false)] {
        let mut client = scram::Client::new();
        let first = client.first();
        let (server, answer) = scram::Server::first(verifier.clone(), first.as_bytes()).unwrap();
        let proof = client.answer(password, answer.as_bytes()).unwrap();
        match server.finish(proof.as_bytes()) {
            Ok(last) if right => client.verify(last.as_bytes()).unwrap(),
            Err(scram::ScramError::Password) if !right => {}
            other => panic!("{other:?}"),
        }
    }
}
