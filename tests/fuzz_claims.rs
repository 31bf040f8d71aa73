//! Stateful fuzz test of claims on idempotency keys. Concurrent batches swap the same claim table
//! in a store that loses responses and delays writes. The model counts the grants of each key.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::HashMap;

use arbtest::arbitrary::Unstructured;
use fuzz::{Counts, chance, number_below};
use tarragoncourse::coordination::claims::{
    Batch, BatchEvent, BatchStep, ClaimOutcome, ClaimTable, KEY_RETENTION, KeyHash, KeyOperation,
    KeyState, TABLE_ENTRIES_MAX,
};
use tarragoncourse::protocol::record::{decode_claim_table, encode_claim_table};
use tarragoncourse::standin::store::Store;
use tarragoncourse::state::id::AttemptId;
use tarragoncourse::state::revision::Revision;

const TABLE_KEY: &str = "claims/00";

/// Batch that is not complete, and its next step.
struct PendingBatch {
    batch: Batch,
    operations: Vec<KeyOperation>,
    step: BatchStep,
}

/// Store, the batches that use it, and the grants seen so far.
struct Model {
    store: Store,
    unix_secs: u64,
    pending: Vec<PendingBatch>,
    /// Claim tables whose write takes effect after the sender's timeout, with the expected
    /// revision.
    delayed_writes: Vec<(String, Revision)>,
    last_attempt: u128,
    /// Number of grants of each key within its retention period, and the time of the first in
    /// seconds since the Unix epoch.
    grants: HashMap<KeyHash, (u32, u64)>,
}

impl Model {
    /// Starts a batch of one to three claims on five keys.
    fn begin_batch(&mut self, u: &mut Unstructured) {
        let mut operations = Vec::new();
        for _ in 0..=number_below(u, 3) {
            self.last_attempt += 1;
            operations.push(KeyOperation::Claim(
                KeyHash(number_below(u, 5) as u128),
                AttemptId(self.last_attempt),
            ));
        }
        let batch = Batch::new(operations.clone(), self.unix_secs);
        let step = BatchStep::Read;
        self.pending.push(PendingBatch {
            batch,
            operations,
            step,
        });
    }

    /// Performs the next step of a random batch.
    fn advance_batch(&mut self, u: &mut Unstructured, counts: &mut Counts) {
        let i = number_below(u, self.pending.len());
        let mut pending = self.pending.swap_remove(i);
        let event = match &pending.step {
            BatchStep::Read if chance(u, 10) => BatchEvent::Table(None),
            BatchStep::Read => BatchEvent::Table(Some(self.read_table())),
            BatchStep::Swap(table, revision) => {
                BatchEvent::Swapped(self.swap_table(u, table, *revision, counts))
            }
            BatchStep::Done(_) | BatchStep::Failed => unreachable!("completed batches are dropped"),
        };
        pending.step = pending.batch.advance(event);
        match &pending.step {
            BatchStep::Done(outcomes) => self.check_outcomes(&pending.operations, outcomes, counts),
            BatchStep::Failed => counts.add("failed"),
            _ => self.pending.push(pending),
        }
    }

    /// Claim table in the store and its revision.
    fn read_table(&self) -> (ClaimTable, Revision) {
        match self.store.get(TABLE_KEY) {
            Some(value) => (decode_claim_table(&value.text).unwrap(), value.revision),
            None => (ClaimTable::default(), Revision::ABSENT),
        }
    }

    /// Compares and swaps the claim table. Returns `None` if the write is delayed or the response
    /// is lost.
    fn swap_table(
        &mut self,
        u: &mut Unstructured,
        table: &ClaimTable,
        revision: Revision,
        counts: &mut Counts,
    ) -> Option<bool> {
        let text = encode_claim_table(table);
        if chance(u, 15) {
            counts.add("delayed write");
            self.delayed_writes.push((text, revision));
            return None;
        }
        let swapped = self
            .store
            .compare_and_swap(TABLE_KEY, &text, revision, None)
            .is_some();
        if chance(u, 15) {
            counts.add("lost response");
            return None;
        }
        Some(swapped)
    }

    /// Checks that no key is granted twice within its retention period.
    fn check_outcomes(
        &mut self,
        operations: &[KeyOperation],
        outcomes: &[ClaimOutcome],
        counts: &mut Counts,
    ) {
        for (operation, outcome) in operations.iter().zip(outcomes) {
            let KeyOperation::Claim(key, _) = operation else {
                continue;
            };
            match outcome {
                ClaimOutcome::Granted => {
                    counts.add("granted");
                    let (granted, first_at) =
                        self.grants.entry(*key).or_insert((0, self.unix_secs));
                    if self.unix_secs >= *first_at + KEY_RETENTION.as_secs() {
                        (*granted, *first_at) = (0, self.unix_secs);
                    }
                    *granted += 1;
                    assert_eq!(
                        *granted, 1,
                        "key {key} was granted twice within its retention period"
                    );
                }
                ClaimOutcome::Held(_) => counts.add("held"),
                ClaimOutcome::Full => counts.add("full"),
                ClaimOutcome::Unsettled => panic!("the store did not come back from a copy"),
            }
        }
    }
}

#[test]
fn a_key_is_granted_once_within_its_retention_period() {
    fuzz::run("claims", 300, 2000, |u, counts| {
        let mut model = Model {
            store: Store::default(),
            unix_secs: 1_000_000,
            pending: Vec::new(),
            delayed_writes: Vec::new(),
            last_attempt: 0,
            grants: HashMap::new(),
        };
        while !u.is_empty() {
            counts.add("steps");
            match number_below(u, 20) {
                0..=5 => model.begin_batch(u),
                6..=15 if !model.pending.is_empty() => model.advance_batch(u, counts),
                16 if !model.delayed_writes.is_empty() => {
                    let (text, revision) = model
                        .delayed_writes
                        .swap_remove(number_below(u, model.delayed_writes.len()));
                    model
                        .store
                        .compare_and_swap(TABLE_KEY, &text, revision, None);
                }
                17 if chance(u, 10) && model.pending.is_empty() => {
                    counts.add("retention period passed");
                    model.unix_secs += KEY_RETENTION.as_secs();
                }
                _ => {}
            }
        }
    });
}

#[test]
fn a_completed_key_keeps_its_outcome_and_a_released_key_is_granted_again() {
    let (key, first, second) = (KeyHash(1), AttemptId(1), AttemptId(2));
    let mut table = ClaimTable::default();
    let claim = |table: &mut ClaimTable, id| table.apply(&[KeyOperation::Claim(key, id)], 100)[0];
    assert_eq!(claim(&mut table, first), ClaimOutcome::Granted);
    assert_eq!(
        claim(&mut table, second),
        ClaimOutcome::Held(KeyState::Pending)
    );
    // Only the attempt that holds the key may complete or release it.
    table.apply(
        &[
            KeyOperation::Release(key, second),
            KeyOperation::Complete(key, second, 200),
        ],
        100,
    );
    assert_eq!(
        claim(&mut table, second),
        ClaimOutcome::Held(KeyState::Pending)
    );
    table.apply(&[KeyOperation::Complete(key, first, 201)], 100);
    assert_eq!(
        claim(&mut table, second),
        ClaimOutcome::Held(KeyState::Answered(201))
    );
    table.apply(&[KeyOperation::Release(key, first)], 100);
    assert_eq!(claim(&mut table, second), ClaimOutcome::Granted);
}

#[test]
fn a_full_claim_table_rejects_claims_and_fits_into_one_value() {
    let mut table = ClaimTable::default();
    let claims: Vec<KeyOperation> = (0..TABLE_ENTRIES_MAX as u128)
        .map(|n| KeyOperation::Claim(KeyHash(u128::MAX - n), AttemptId(u128::MAX - n)))
        .collect();
    assert!(
        table
            .apply(&claims, 9_999_999_999)
            .iter()
            .all(|v| *v == ClaimOutcome::Granted)
    );
    let extra_claim = [KeyOperation::Claim(KeyHash(1), AttemptId(1))];
    assert_eq!(
        table.apply(&extra_claim, 9_999_999_999),
        [ClaimOutcome::Full]
    );
    assert!(encode_claim_table(&table).len() < 1 << 20);
}
