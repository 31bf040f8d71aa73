//! The table of ends of targets: exchange in any order, bounds under a flood, and which requests an
//! end concerns.

use std::time::Duration;

use smallvec::{SmallVec, smallvec};
use tarragoncourse::coordination::crash_table::{
    CrashTable, ENDS_MAX, EndId, EndRecord, RECORDS_MAX, RETENTION, Verdict,
};
use tarragoncourse::coordination::target_end::{BrokenAttempts, CONCERNED_MAX};
use tarragoncourse::protocol::datagram::{DATAGRAM_MAX_BYTES, Datagram, DatagramSealer};
use tarragoncourse::protocol::key::FleetKey;
use tarragoncourse::state::id::{Fingerprint, Incarnation};
use tokio::time::Instant;

fn end_record(end: u64, concerned: impl IntoIterator<Item = u64>) -> EndRecord {
    EndRecord {
        end: EndId(end),
        concerned: concerned.into_iter().map(Fingerprint).collect(),
        cleared: 0,
    }
}

/// Nodes receive records and clearings in different orders, some of them twice.
#[test]
fn tables_that_have_received_the_same_records_are_equal() {
    let now = Instant::now();
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut records: Vec<EndRecord> = (0..6)
            .map(|end| end_record(end, (0..8).map(|_| rng.u64(..12))))
            .collect();
        for _ in 0..4 {
            let mut changed = records[rng.usize(..6)].clone();
            changed.cleared |= 1 << rng.u32(..8);
            records.push(changed);
        }
        let mut tables = [CrashTable::default(), CrashTable::default()];
        for table in &mut tables {
            rng.shuffle(&mut records);
            for record in records.iter().chain(&records[..3]) {
                table.merge(record, now);
            }
        }
        assert_eq!(tables[0].digest(), tables[1].digest(), "seed {seed}");
        for fingerprint in 0..12 {
            let verdicts = tables
                .each_ref()
                .map(|t| t.verdict(&[Fingerprint(fingerprint)]));
            assert_eq!(verdicts[0], verdicts[1], "seed {seed}");
        }
    }
}

/// Each request of the flood is another one and crashes one target.
#[test]
fn a_flood_of_different_requests_neither_fills_the_memory_nor_displaces_a_refused_one() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    let refused = [Fingerprint(1)];
    for end in 0..ENDS_MAX as u64 {
        table.merge(&end_record(end, [1]), now);
    }
    for n in 0..1_500 {
        let after = now + Duration::from_millis(n);
        table.merge(
            &end_record(1_000 + n, 1_000_000 + n * 28..1_000_028 + n * 28),
            after,
        );
        assert!(table.len() <= RECORDS_MAX);
    }
    assert_eq!(table.verdict(&refused), Verdict::Refuse(ENDS_MAX));
    assert_eq!(table.refused_count(), 1);
    table.expire(now + RETENTION + Duration::from_secs(30));
    assert!(table.is_empty());
    assert_eq!(table.verdict(&refused), Verdict::Clear);
}

#[test]
fn the_largest_record_fits_into_a_datagram() {
    let concerned = (0..CONCERNED_MAX as u64).map(|n| u64::MAX - n);
    let mut record = end_record(u64::MAX, concerned);
    record.cleared = u128::MAX;
    let address = "[2001:db8::1]:65535".parse().expect("an address");
    let key = FleetKey::derive("test-fleet-key-0123456789");
    let mut sealer = DatagramSealer::new(key, address, Incarnation(u64::MAX));
    let bytes = sealer.seal(&Datagram::Ends(vec![record]));
    assert!(bytes.len() <= DATAGRAM_MAX_BYTES, "{}", bytes.len());
}

/// A request whose response arrived before the target ended, or that another start of the target ran,
/// is not concerned.
#[test]
fn an_end_concerns_only_what_the_target_was_running() {
    let now = Instant::now();
    let [earlier, current] = [("a".into(), 1), ("a".into(), 2)];
    let attempt = |n: u64| -> SmallVec<[Fingerprint; 2]> { smallvec![Fingerprint(n)] };
    let mut broken = BrokenAttempts::default();
    broken.record(&current, &attempt(1), now);
    let later = now + Duration::from_secs(5);
    broken.record(&earlier, &attempt(2), later);
    broken.record(&current, &attempt(3), later);
    let concerned = broken.take(&current, later);
    assert_eq!(concerned.as_slice(), [Fingerprint(3)]);
    // Many more connections than can be told break at once.
    for n in 0..1_000 {
        broken.record(&current, &attempt(n), later);
    }
    assert_eq!(broken.take(&current, later).len(), CONCERNED_MAX);
}

/// Two ends are no proof; a third counts only if it is another target's, or another start's.
#[test]
fn an_end_that_is_reported_twice_counts_once() {
    let now = Instant::now();
    let mut table = CrashTable::default();
    for end in [
        EndId::new("a", 1, 0),
        EndId::new("a", 1, 9),
        EndId::new("a", 2, 0),
    ] {
        table.merge(&end_record(end.0, [7]), now);
    }
    assert_eq!(table.verdict(&[Fingerprint(7)]), Verdict::Suspect(2));
}
