//! A key is taken away while its client is in a transaction.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Bounds, Client, Fleet, Reply, sleep_until};
use crate::group::SERVICE;

/// Bounds of the sheet with keys: `configApplyMs` and the time before traffic.
const CONFIG_APPLY: Duration = Duration::from_millis(6_000);
const LEAD: Duration = Duration::from_secs(14);

/// Pause between two statements of a transaction; `txIdleMs` is 3,000.
const PAUSE: Duration = Duration::from_millis(1_500);

fn config(version: u64, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"database\":\"filing\",\
         \"prefix\":\"/\",\"type\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":1000,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"maxConns\":34,\"syncReplicas\":1}}],\
         \"tenants\":[{{\"name\":\"broker\",\"apiKeys\":[{keys}],\"ratePerS\":500,\"burst\":500}},\
         {{\"name\":\"auditor\",\"apiKeys\":[\"k-auditor\"],\"ratePerS\":500,\"burst\":500}}],\
         \"limits\":{{\"txIdleMs\":3000}}}}"
    )
}

pub fn run(program: &Path, folder: &Path, record: &Path, trouble: bool) -> io::Result<Verdict> {
    let bounds = Bounds { config_apply_ms: CONFIG_APPLY.as_millis() as u64 };
    let both = config(1, "\"k-taken\",\"k-kept\"");
    let mut fleet = Fleet::start(program, folder, record, 3, bounds, &both)?;
    let begun = Instant::now();
    sleep_until(begun + LEAD);

    let not_run = |what: &str| Ok(Verdict::NotRun(what.to_owned()));
    let Ok(mut begun_only) = Client::open(&mut fleet, 0, "c1", "filing", "k-taken") else {
        return not_run("c1 was not let in");
    };
    let Ok(mut running) = Client::open(&mut fleet, 1, "c2", "filing", "k-taken") else {
        return not_run("c2 was not let in");
    };
    let Ok(mut single) = Client::open(&mut fleet, 0, "c3", "filing", "k-taken") else {
        return not_run("c3 was not let in");
    };
    let served = |reply: Option<Reply>| reply.is_some_and(|reply| reply.done());
    let first = served(single.query(&mut fleet, "WRITE a 1"))
        && served(begun_only.query(&mut fleet, "BEGIN"))
        && served(running.query(&mut fleet, "BEGIN"))
        && served(running.query(&mut fleet, "READ a"));
    if !first {
        return not_run("the first statements were not served");
    }

    let keys = if trouble { "\"k-kept\"" } else { "\"k-taken\",\"k-kept\"" };
    let what = if trouble { "the key k-taken is gone" } else { "all keys are kept" };
    let acknowledged = fleet.configure(&config(4, keys), what);
    let late = acknowledged + CONFIG_APPLY + Duration::from_millis(500);
    while Instant::now() + PAUSE < late {
        if !served(running.query(&mut fleet, "READ a")) {
            fleet.note("c2 was refused within its transaction");
            break;
        }
        sleep_until((Instant::now() + PAUSE).min(late));
    }
    sleep_until(late);

    // Every statement from here on is sent later than configApplyMs after the acknowledgement.
    let control = single.query(&mut fleet, "READ a");
    let new = Client::open(&mut fleet, 2, "c4", "filing", "k-taken");
    let mut replies = Vec::new();
    for text in ["READ a", "WRITE b 1", "COMMIT"] {
        replies.extend(begun_only.query(&mut fleet, text));
    }
    for text in ["READ a", "WRITE c 1", "COMMIT"] {
        replies.extend(running.query(&mut fleet, text));
    }
    fleet.note_runs(begun);
    if !fleet.runs() {
        return not_run("a front process has ended");
    }
    if !trouble {
        let all = served(control) && new.is_ok() && replies.len() == 6;
        return Ok(if all && replies.iter().all(Reply::done) {
            Verdict::Held("all statements of the kept key were served".to_owned())
        } else {
            Verdict::NotRun("a statement of a kept key was not served".to_owned())
        });
    }
    if control.is_some_and(|reply| reply.code() != "NOAUTH") || new.is_ok() {
        return not_run("the new version is not in force for single statements");
    }
    let runs = fleet.group.runs();
    let ran = replies.iter().filter(|reply| {
        let sent_late = reply.sent > acknowledged + CONFIG_APPLY;
        sent_late && reply.signed() && runs.iter().any(|run| run.id == reply.id)
    });
    let count = ran.count();
    Ok(if count > 0 {
        Verdict::Broken(format!(
            "{count} of {} statements ran with a dropped key, more than {} ms after the \
             acknowledgement",
            replies.len(),
            CONFIG_APPLY.as_millis()
        ))
    } else {
        Verdict::Held("no statement ran with the dropped key".to_owned())
    })
}
