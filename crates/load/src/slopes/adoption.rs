//! Cost of one change of the configuration at growing numbers of groups.

use std::collections::HashMap;
use std::sync::Arc;

use miette::IntoDiagnostic as _;
use model::config::Fleet;
use model::document::{self, Encoded};
use model::position::Revision;
use policy::config_mirror::{Change, ConfigMirror, Delta, Record};

use super::process;
use crate::report::Table;

const SIZES: [usize; 4] = [9, 2_000, 8_000, 33_000];

/// Changes of one group each, over which the costs are averaged.
const CHANGES: u32 = 20;

pub(super) fn measure() -> miette::Result<Table> {
    let title = "one change of one group, by the number of groups";
    let columns = [
        "groups",
        "values",
        "bytes in all",
        "bytes of the head",
        "bytes per change",
        "cpu per change ms",
        "first adoption ms",
        "memory MB",
    ];
    let mut table = Table::new(title, &columns);
    for groups in SIZES {
        table.row(one_size(groups)?);
    }
    Ok(table)
}

fn one_size(groups: usize) -> miette::Result<Vec<String>> {
    let mut fleet = fleet(groups)?;
    let encoded = document::encode(&fleet, "0").into_diagnostic()?;
    let mut stored: HashMap<String, Vec<u8>> = HashMap::new();
    let first = delta(&encoded, &mut stored, Revision(1));
    let (values, bytes) = (first.records.len(), size(&first));
    let head = encoded.head.len();
    let memory = process::memory();
    let mut adopter = ConfigMirror::default();
    let began = process::thread_cpu();
    adopted(&adopter.merge(first))?;
    let first = process::thread_cpu() - began;
    let memory = process::memory().saturating_sub(memory);
    let (mut sent, mut spent) = (0, std::time::Duration::ZERO);
    for change in 1..=CHANGES {
        let at = change as usize * 31 % fleet.groups.len();
        fleet.groups[at].database = format!("name-{change}");
        let nonce = change.to_string();
        let encoded = document::encode(&fleet, &nonce).into_diagnostic()?;
        let delta = delta(&encoded, &mut stored, Revision(u64::from(change) + 1));
        sent += size(&delta);
        let began = process::thread_cpu();
        adopted(&adopter.merge(delta))?;
        spent += process::thread_cpu() - began;
    }
    let millis = |d: std::time::Duration| format!("{:.2}", d.as_secs_f64() * 1e3);
    Ok(vec![
        groups.to_string(),
        values.to_string(),
        bytes.to_string(),
        head.to_string(),
        (sent / CHANGES as usize).to_string(),
        millis(spent / CHANGES),
        millis(first),
        format!("{:.1}", memory as f64 / f64::from(1 << 20)),
    ])
}

fn fleet(groups: usize) -> miette::Result<Fleet> {
    let mut spec = standin::Spec::small();
    spec.groups.truncate(1);
    let stand_ins = standin::Fleet::start(spec).into_diagnostic()?;
    let mut fleet = stand_ins.document();
    let pattern = fleet.groups[0].clone();
    fleet.groups.clear();
    for at in 0..groups {
        let mut group = pattern.clone();
        group.instances = group
            .instances
            .into_values()
            .enumerate()
            .map(|(n, mut instance)| {
                let port = u16::try_from(at % 60_000).unwrap_or_default() + 1;
                let ip = [
                    10,
                    0,
                    u8::try_from(at / 60_000).unwrap_or_default(),
                    n as u8,
                ];
                instance.address = std::net::SocketAddr::from((ip, port));
                let id = format!("database-{at:05}-{n}").parse();
                id.map(|id| (id, instance))
            })
            .collect::<Result<_, _>>()
            .into_diagnostic()?;
        let id = format!("database-{at:05}").parse().into_diagnostic()?;
        fleet.groups.insert(id, group);
    }
    for caller in fleet.callers.values_mut() {
        caller.groups = fleet.groups.keys().take(100).cloned().collect();
    }
    Ok(fleet)
}

/// The values that differ from what is stored already, as one delta.
fn delta(encoded: &Encoded, stored: &mut HashMap<String, Vec<u8>>, revision: Revision) -> Delta {
    let mut records = Vec::new();
    let parts = encoded.parts.iter().map(|part| (&part.key, &part.value));
    let head = document::HEAD.to_owned();
    for (key, value) in parts.chain([(&head, &encoded.head)]) {
        if stored.get(key) != Some(value) {
            stored.insert(key.clone(), value.clone());
            records.push(Record {
                key: key.clone(),
                value: Arc::from(String::from_utf8_lossy(value)),
                revision,
            });
        }
    }
    Delta {
        after: Revision(revision.0 - 1),
        records,
        complete: revision,
        more: false,
    }
}

fn size(delta: &Delta) -> usize {
    peer::codec::encode(delta).map_or(0, |body| body.len())
}

fn adopted(changes: &[Change]) -> miette::Result<()> {
    match changes {
        [Change::Applied(_)] => Ok(()),
        other => Err(miette::miette!("not adopted: {other:?}")),
    }
}
