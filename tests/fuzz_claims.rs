//! Stateful fuzz of claims on idempotency keys: many batches race over a store whose answers are
//! lost and whose writes arrive late. The oracle counts runs by key.

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

const KEY: &str = "claims/00";

struct Running {
    batch: Batch,
    wishes: Vec<KeyOperation>,
    step: BatchStep,
}

struct World {
    store: Store,
    stamp: u64,
    running: Vec<Running>,
    late: Vec<(String, u64)>,
    next: u128,
    /// Runs of each key, with the stamp of the first.
    runs: HashMap<KeyHash, (u32, u64)>,
}

impl World {
    fn begin(&mut self, u: &mut Unstructured) {
        let mut wishes = Vec::new();
        for _ in 0..=number_below(u, 3) {
            self.next += 1;
            wishes.push(KeyOperation::Claim(
                KeyHash(number_below(u, 5) as u128),
                AttemptId(self.next),
            ));
        }
        let batch = Batch::new(wishes.clone(), self.stamp);
        let step = BatchStep::Read;
        self.running.push(Running {
            batch,
            wishes,
            step,
        });
    }

    fn advance(&mut self, u: &mut Unstructured, counts: &mut Counts) {
        let at = number_below(u, self.running.len());
        let mut r = self.running.swap_remove(at);
        let event = match &r.step {
            BatchStep::Read if chance(u, 10) => BatchEvent::Table(None),
            BatchStep::Read => BatchEvent::Table(Some(self.read())),
            BatchStep::Swap(book, revision) => {
                BatchEvent::Swapped(self.swap(u, book, *revision, counts))
            }
            BatchStep::Done(_) | BatchStep::Failed => unreachable!("ended batches are dropped"),
        };
        r.step = r.batch.advance(event);
        match &r.step {
            BatchStep::Done(verdicts) => self.ended(&r.wishes, verdicts, counts),
            BatchStep::Failed => counts.add("failed"),
            _ => self.running.push(r),
        }
    }

    fn read(&self) -> (ClaimTable, u64) {
        match self.store.get(KEY) {
            Some(value) => (decode_claim_table(&value.text).unwrap(), value.revision),
            None => (ClaimTable::default(), 0),
        }
    }

    fn swap(
        &mut self,
        u: &mut Unstructured,
        book: &ClaimTable,
        revision: u64,
        counts: &mut Counts,
    ) -> Option<bool> {
        let text = encode_claim_table(book);
        if chance(u, 15) {
            counts.add("late write");
            self.late.push((text, revision));
            return None;
        }
        let swapped = self
            .store
            .compare_and_swap(KEY, &text, revision, None)
            .is_some();
        if chance(u, 15) {
            counts.add("lost answer");
            return None;
        }
        Some(swapped)
    }

    fn ended(&mut self, wishes: &[KeyOperation], verdicts: &[ClaimOutcome], counts: &mut Counts) {
        for (wish, verdict) in wishes.iter().zip(verdicts) {
            let KeyOperation::Claim(key, _) = wish else {
                continue;
            };
            match verdict {
                ClaimOutcome::Granted => {
                    counts.add("granted");
                    let (runs, first) = self.runs.entry(*key).or_insert((0, self.stamp));
                    if self.stamp >= *first + KEY_RETENTION.as_secs() {
                        (*runs, *first) = (0, self.stamp);
                    }
                    *runs += 1;
                    assert_eq!(*runs, 1, "key {key} was granted twice within the window");
                }
                ClaimOutcome::Held(_) => counts.add("held"),
                ClaimOutcome::Full => counts.add("full"),
            }
        }
    }
}

#[test]
fn a_key_is_granted_once_within_its_window() {
    fuzz::run("claims", 300, 2000, |u, counts| {
        let mut w = World {
            store: Store::default(),
            stamp: 1_000_000,
            running: Vec::new(),
            late: Vec::new(),
            next: 0,
            runs: HashMap::new(),
        };
        while !u.is_empty() {
            counts.add("steps");
            match number_below(u, 20) {
                0..=5 => w.begin(u),
                6..=15 if !w.running.is_empty() => w.advance(u, counts),
                16 if !w.late.is_empty() => {
                    let (text, revision) = w.late.swap_remove(number_below(u, w.late.len()));
                    w.store.compare_and_swap(KEY, &text, revision, None);
                }
                17 if chance(u, 10) && w.running.is_empty() => {
                    counts.add("window passed");
                    w.stamp += KEY_RETENTION.as_secs();
                }
                _ => {}
            }
        }
    });
}

#[test]
fn an_outcome_is_kept_and_a_request_that_did_not_run_gives_its_key_back() {
    let (key, first, second) = (KeyHash(1), AttemptId(1), AttemptId(2));
    let mut book = ClaimTable::default();
    let claim = |book: &mut ClaimTable, id| book.apply(&[KeyOperation::Claim(key, id)], 100)[0];
    assert_eq!(claim(&mut book, first), ClaimOutcome::Granted);
    assert_eq!(
        claim(&mut book, second),
        ClaimOutcome::Held(KeyState::Pending)
    );
    // Only the claim that holds the key may settle or release it.
    book.apply(
        &[
            KeyOperation::Release(key, second),
            KeyOperation::Complete(key, second, 200),
        ],
        100,
    );
    assert_eq!(
        claim(&mut book, second),
        ClaimOutcome::Held(KeyState::Pending)
    );
    book.apply(&[KeyOperation::Complete(key, first, 201)], 100);
    assert_eq!(
        claim(&mut book, second),
        ClaimOutcome::Held(KeyState::Answered(201))
    );
    book.apply(&[KeyOperation::Release(key, first)], 100);
    assert_eq!(claim(&mut book, second), ClaimOutcome::Granted);
}

#[test]
fn a_full_book_refuses_and_fits_into_one_value() {
    let mut book = ClaimTable::default();
    let claims: Vec<KeyOperation> = (0..TABLE_ENTRIES_MAX as u128)
        .map(|n| KeyOperation::Claim(KeyHash(u128::MAX - n), AttemptId(u128::MAX - n)))
        .collect();
    assert!(
        book.apply(&claims, 9_999_999_999)
            .iter()
            .all(|v| *v == ClaimOutcome::Granted)
    );
    let more = [KeyOperation::Claim(KeyHash(1), AttemptId(1))];
    assert_eq!(book.apply(&more, 9_999_999_999), [ClaimOutcome::Full]);
    assert!(encode_claim_table(&book).len() < 1 << 20);
}
