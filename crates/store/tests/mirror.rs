//! Tests that a mirror updated by another mirror matches the store.

use std::collections::BTreeMap;

use model::position::Revision;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use store::kv::{Listing, Record};
use store::mirror::{Mirror, Update};
use store::watch::{Batch, Change};

/// Model of the store: each key's value and revision.
#[derive(Default)]
struct Oracle {
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
}

impl Oracle {
    /// Changes a few keys at once and returns what a watch reports.
    fn step(&mut self, rng: &mut StdRng) -> Batch {
        self.revision += rng.random_range(1..4);
        let mut changes = Vec::new();
        for _ in 0..rng.random_range(1..4) {
            let key = format!("k{}", rng.random_range(0..12));
            if rng.random_bool(0.3) && self.keys.remove(&key).is_some() {
                changes.push(Change::Delete(key, Revision(self.revision)));
                continue;
            }
            let value = vec![7; rng.random_range(0..200_000)];
            self.keys
                .insert(key.clone(), (value.clone(), self.revision));
            changes.push(Change::Put(Record {
                key,
                value,
                revision: Revision(self.revision),
                created: Revision(1),
            }));
        }
        Batch {
            changes,
            revision: Revision(self.revision),
        }
    }

    fn listing(&self) -> Listing {
        let record = |(key, (value, revision)): (&String, &(Vec<u8>, u64))| Record {
            key: key.clone(),
            value: value.clone(),
            revision: Revision(*revision),
            created: Revision(1),
        };
        Listing {
            records: self.keys.iter().map(record).collect(),
            revision: Revision(self.revision),
        }
    }
}

/// A mirror's records, by key.
fn records(mirror: &Mirror) -> BTreeMap<String, (Vec<u8>, u64)> {
    let Update::Listing(listing) = mirror.changes_since(Revision(0)) else {
        panic!("everything is a listing");
    };
    let pair = |r: Record| (r.key, (r.value, r.revision.0));
    listing.records.into_iter().map(pair).collect()
}

/// A proxy receives updates from a store reader, sometimes many changes late, and the reader
/// lists everything again at times. In any order, the proxy's mirror must match the store:
/// otherwise its callers see another configuration.
#[test]
fn a_mirror_updated_by_another_matches_the_store() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut oracle, mut reader, mut follower) =
            (Oracle::default(), Mirror::default(), Mirror::default());
        oracle.step(&mut rng);
        reader.apply(&Update::Listing(oracle.listing()));
        for _ in 0..120 {
            let batch = oracle.step(&mut rng);
            if rng.random_bool(0.05) {
                reader.apply(&Update::Listing(oracle.listing()));
            } else {
                reader.apply(&Update::Changes(batch));
            }
            if rng.random_bool(0.4) {
                let update = reader.changes_since(follower.revision());
                follower.apply(&update);
                assert_eq!(records(&follower), oracle.keys, "seed {seed}");
            }
        }
        assert_eq!(records(&reader), oracle.keys, "seed {seed}");
    }
}
