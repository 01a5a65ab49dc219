//! The stand-ins and scenarios of the review's scripts.
//!
//! `review-standin CASE PROGRAM FOLDER RECORD` exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod fleet;
mod group;
mod json;
mod lost;
mod reader;
mod revoke;
mod stale;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = &args[..] else {
        eprintln!("usage: review-standin CASE PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (program, folder, record) = (Path::new(program), Path::new(folder), Path::new(record));
    let result = match case.as_str() {
        "empty" => lost::run(lost::Case::Empty, program, folder, record, trouble),
        "entry" => lost::run(lost::Case::Entry, program, folder, record, trouble),
        "reader" => reader::run(program, folder, record, trouble),
        "revoke" => revoke::run(program, folder, record, trouble),
        "stale" => stale::run(program, folder, record, trouble),
        _ => Ok(Verdict::NotRun(format!("there is no case {case}"))),
    };
    let verdict = result.unwrap_or_else(|e| Verdict::NotRun(e.to_string()));
    match verdict {
        Verdict::Held(why) => {
            println!("held: {why}");
            ExitCode::SUCCESS
        }
        Verdict::Broken(why) => {
            println!("broken: {why}");
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            println!("not run: {why}");
            ExitCode::from(2)
        }
    }
}
