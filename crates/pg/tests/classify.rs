//! Each way in which a write could pass for a read has its case here.

use pg::classify::{self, Control, Effect, Refusal};
use test_case::test_case;

#[test_case("SELECT 1", Effect::Read)]
#[test_case(
    "select id, count(*) from t where name like 'a%' group by id",
    Effect::Read
)]
#[test_case("SELECT a FROM t UNION SELECT b FROM u", Effect::Read; "union of reads")]
#[test_case("WITH x AS (SELECT 1) SELECT * FROM x", Effect::Read; "cte that reads")]
#[test_case("VALUES (1), (2)", Effect::Read)]
#[test_case("SELECT 1; SELECT 2", Effect::Read; "two reads")]
#[test_case("EXPLAIN SELECT 1", Effect::Read)]
#[test_case("SELECT $1::int", Effect::Read; "parameter")]
#[test_case("SELECT pg_catalog.count(*) FROM t", Effect::Read; "system schema")]
#[test_case("EXPLAIN ANALYZE DELETE FROM t", Effect::Write; "explain that runs")]
#[test_case("EXPLAIN DELETE FROM t", Effect::Write; "explain of a write")]
#[test_case("INSERT INTO t VALUES (1)", Effect::Write)]
#[test_case("SELECT * FROM t FOR UPDATE", Effect::Write; "locking read")]
#[test_case("SELECT * FROM (SELECT * FROM t FOR SHARE) x", Effect::Write; "locking read inside")]
#[test_case("WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", Effect::Write; "cte that writes")]
#[test_case("SELECT * FROM (WITH x AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM x) y", Effect::Write; "cte that writes inside")]
#[test_case("SELECT pay(1)", Effect::Write; "unknown function")]
#[test_case("SELECT mine.count(1)", Effect::Write; "function of another schema")]
#[test_case("SELECT \"COUNT\"(1)", Effect::Write; "quoted name is another function")]
#[test_case("SELECT * FROM pay(1)", Effect::Write; "function as a table")]
#[test_case("SELECT * FROM t, LATERAL pay(t.id)", Effect::Write; "lateral function")]
#[test_case("SELECT 1 WHERE 1 = pay(1)", Effect::Write; "function in a condition")]
#[test_case("SELECT nextval('s')", Effect::Write; "sequence")]
#[test_case("SELECT 1; DELETE FROM t", Effect::Write; "write behind a read")]
#[test_case("SELECT ';' ; DELETE FROM t", Effect::Write; "semicolon in a string")]
#[test_case("SELECT 1 /* ; */ ; DELETE FROM t --", Effect::Write; "semicolon in a comment")]
#[test_case("/* SELECT */ DELETE FROM t", Effect::Write; "comment in front")]
#[test_case("SELECT 1 --\n; DELETE FROM t", Effect::Write; "line comment ends")]
#[test_case("SELECT $$a$$; DELETE FROM t", Effect::Write; "dollar quotes")]
#[test_case("SELECT E'\\'; DELETE FROM t; --'", Effect::Read; "escaped quote keeps the string open")]
#[test_case("SELECT * INTO u FROM t", Effect::Write; "select into")]
#[test_case("SELECT 1 /* /* */ ; DELETE FROM t", Effect::Write; "unfinished nested comment")]
#[test_case("SELEC 1", Effect::Write; "unknown word")]
#[test_case("COPY t TO STDOUT", Effect::Write; "copy out")]
fn effect(sql: &str, expected: Effect) {
    assert_eq!(classify::classify(sql).effect, expected);
}

#[test_case("BEGIN", Control::Begin { read_only: false })]
#[test_case("START TRANSACTION READ ONLY", Control::Begin { read_only: true }; "read only")]
#[test_case("COMMIT", Control::End)]
#[test_case("ROLLBACK", Control::End; "rollback")]
#[test_case("ROLLBACK TO SAVEPOINT a", Control::Plain; "rollback to a savepoint")]
#[test_case("BEGIN; DELETE FROM t; COMMIT", Control::End; "whole transaction")]
#[test_case("LISTEN c", Control::Refused(Refusal::Listen))]
#[test_case("COPY t FROM STDIN", Control::Refused(Refusal::CopyIn))]
#[test_case("PREPARE p AS SELECT 1", Control::Refused(Refusal::Prepare))]
#[test_case("SET standard_conforming_strings = off", Control::Refused(Refusal::Setting); "quoting setting")]
#[test_case("SET LOCAL work_mem = '1MB'", Control::Plain; "local setting")]
#[test_case("SELECT 1; SET pomelo.once = 'true'", Control::Refused(Refusal::NotAlone); "hidden mark")]
#[test_case("CREATE TEMP TABLE a (b int)", Control::Refused(Refusal::Temporary); "temporary table")]
#[test_case("SET pomelo.max_age = '5s'", Control::Set { name: "pomelo.max_age".into(), value: Some("5s".into()) }; "mark")]
#[test_case("SHOW pomelo.session", Control::Show { name: "session".into() })]
#[test_case("", Control::Empty)]
#[test_case("DISCARD ALL", Control::Discard)]
fn control(sql: &str, expected: Control) {
    let found = classify::classify(sql).control;
    assert!(found == expected, "{found:?}");
    drop(expected);
}

#[test]
fn session_functions_taint() {
    assert!(classify::classify("SELECT set_config('a', 'b', false)").taints);
    assert!(classify::classify("INSERT INTO t SELECT pg_advisory_lock(1)").taints);
    assert!(!classify::classify("SELECT now()").taints);
}
