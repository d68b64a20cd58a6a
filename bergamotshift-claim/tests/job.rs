//! Detection of open jobs, distribution of shards, and encoding of rows.

use core::time::Duration;

use bergamotshift_claim::job;
use bergamotshift_claim::prelude::*;
use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::name;
use bergamotshift_core::table::Row;
use bergamotshift_core::urgency::Urgency;
use quickcheck::quickcheck;

fn open(lease: Option<u32>, urgency: Urgency) -> job::Open {
    job::Open {
        urgency,
        deadline: 7,
        fence: 1,
        lease: lease.map(|length| job::Lease {
            holder: "entry-2".into(),
            run: attempt::Id::new(3),
            length,
        }),
    }
}

fn row(version: u64, open: &job::Open) -> Row {
    let body = open.encode();
    Row { version, body }
}

fn ids(candidates: &[job::Candidate]) -> Vec<job::Id> {
    candidates.iter().map(|candidate| candidate.id).collect()
}

// The holder of a job dies, and its lease is not renewed any more. Another entry may take the job once it has seen the
// same row version for the lease's length by its own clock; a renewal restarts that time.
#[test]
fn a_lease_expires_when_its_row_stays_unchanged() {
    let mut watch = job::Watch::default();
    let id = job::Id::new(0);
    let held = open(Some(60_000), Urgency::Normal);
    let mut scan = |seconds, version| watch.update(Instant::from_secs(seconds), 0, &[(id, row(version, &held))]);
    assert_eq!(ids(&scan(0, 4)), []);
    assert_eq!(ids(&scan(59, 4)), []);
    assert_eq!(ids(&scan(61, 5)), [], "it was renewed");
    assert_eq!(ids(&scan(120, 5)), []);
    assert_eq!(ids(&scan(121, 5)), [id]);
}

#[test]
fn free_jobs_are_returned_at_once_by_urgency() {
    let mut watch = job::Watch::default();
    let deferrable = job::Id::new(0);
    let urgent = job::Id::new(1);
    let rows = [
        (deferrable, row(1, &open(None, Urgency::Deferrable))),
        (urgent, row(1, &open(None, Urgency::Urgent))),
    ];
    assert_eq!(ids(&watch.update(Instant::ZERO, 0, &rows)), [urgent, deferrable]);
}

#[test]
fn a_job_that_was_closed_and_listed_again_is_observed_anew() {
    let mut watch = job::Watch::default();
    let id = job::Id::new(0);
    let rows = [(id, row(1, &open(Some(10_000), Urgency::Normal)))];
    watch.update(Instant::ZERO, 0, &rows);
    watch.update(Instant::from_secs(5), 0, &[]);
    assert_eq!(ids(&watch.update(Instant::from_secs(11), 0, &rows)), []);
}

fn members(count: usize) -> Vec<name::Entry> {
    (0..count)
        .map(|number| name::Entry::new(format!("entry-{number}")))
        .collect()
}

// Each shard is listed by exactly one entry, so the number of reads does not grow with the number of entries.
#[test]
fn shards_are_distributed_among_the_entries() {
    const PERIOD: Duration = Duration::from_secs(5);
    for count in [1, 8, 390] {
        let members = members(count);
        let shares = members
            .iter()
            .map(|entry| job::shards(entry, &members))
            .collect::<Vec<_>>();
        let mut all = shares.iter().flatten().copied().collect::<Vec<_>>();
        all.sort_unstable();
        assert_eq!(all, (0..job::SHARDS).collect::<Vec<_>>());
        let most = shares.iter().map(Vec::len).max().unwrap();
        let reads = all.len() as f64 / PERIOD.as_secs_f64();
        println!(
            "{count} entries list {} shards every {PERIOD:?}: {reads:.1} reads/s in all, {most} shards at most",
            all.len()
        );
    }
}

#[test]
fn a_leaving_entry_moves_only_its_own_shards() {
    let members = members(8);
    let remaining = &members[1..];
    for entry in remaining {
        let before = job::shards(entry, &members);
        let after = job::shards(entry, remaining);
        assert!(before.iter().all(|shard| after.contains(shard)));
    }
}

#[test]
fn a_key_identifies_a_job_within_its_organisation() {
    let own = job::Id::of(&Scope::new("a", "mapa-llm", "rebuild-1"));
    assert_eq!(own, job::Id::of(&Scope::new("a", "mapa-llm", "rebuild-1")));
    assert_ne!(own, job::Id::of(&Scope::new("b", "mapa-llm", "rebuild-1")));
}

quickcheck! {
    fn identifiers_are_unchanged_by_formatting_and_parsing(bits: u128) -> bool {
        let id = job::Id::new(bits);
        id.to_string().parse() == Ok(id) && id.shard() < job::SHARDS
    }

    fn open_rows_are_unchanged_by_encoding_and_decoding(lease: Option<u32>, fence: u64) -> bool {
        let open = job::Open { fence, ..open(lease, Urgency::Normal) };
        job::Open::decode(&open.encode()) == Ok(open)
    }

    fn any_bytes_are_an_open_row_or_an_error(bytes: Vec<u8>) -> bool {
        job::Open::decode(&bytes).is_ok_and(|open| job::Open::decode(&open.encode()) == Ok(open))
            || job::Open::decode(&bytes).is_err()
    }

    fn any_bytes_are_a_record_or_an_error(bytes: Vec<u8>) -> bool {
        job::Record::decode(&bytes).is_ok_and(|record| job::Record::decode(&record.encode()) == Ok(record))
            || job::Record::decode(&bytes).is_err()
    }
}
