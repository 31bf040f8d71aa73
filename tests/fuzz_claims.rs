//! Stateful fuzz of claims on idempotency keys: many batches race over a store whose answers are
//! lost and whose writes arrive late. The oracle counts runs by key.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::HashMap;

use arbtest::arbitrary::Unstructured;
use fuzz::{Counts, below, chance};
use tarragoncourse::coordination::claims::{
    BOOK_MAX, Batch, BatchEvent, BatchStep, Book, ClaimVerdict, KeyHash, KeyState, WINDOW, Wish,
};
use tarragoncourse::protocol::record::{decode_claim_table, encode_claim_table};
use tarragoncourse::standin::store::Store;
use tarragoncourse::state::id::AttemptId;

const KEY: &str = "claims/00";

struct Running {
    batch: Batch,
    wishes: Vec<Wish>,
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
        for _ in 0..=below(u, 3) {
            self.next += 1;
            wishes.push(Wish::Claim(
                KeyHash(below(u, 5) as u128),
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
        let at = below(u, self.running.len());
        let mut r = self.running.swap_remove(at);
        let event = match &r.step {
            BatchStep::Read if chance(u, 10) => BatchEvent::Book(None),
            BatchStep::Read => BatchEvent::Book(Some(self.read())),
            BatchStep::Swap(book, revision) => {
                BatchEvent::Swapped(self.swap(u, book, *revision, counts))
            }
            BatchStep::Done(_) | BatchStep::Failed => unreachable!("ended batches are dropped"),
        };
        r.step = r.batch.next(event);
        match &r.step {
            BatchStep::Done(verdicts) => self.ended(&r.wishes, verdicts, counts),
            BatchStep::Failed => counts.add("failed"),
            _ => self.running.push(r),
        }
    }

    fn read(&self) -> (Book, u64) {
        match self.store.get(KEY) {
            Some(value) => (decode_claim_table(&value.text).unwrap(), value.revision),
            None => (Book::default(), 0),
        }
    }

    fn swap(
        &mut self,
        u: &mut Unstructured,
        book: &Book,
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

    fn ended(&mut self, wishes: &[Wish], verdicts: &[ClaimVerdict], counts: &mut Counts) {
        for (wish, verdict) in wishes.iter().zip(verdicts) {
            let Wish::Claim(key, _) = wish else {
                continue;
            };
            match verdict {
                ClaimVerdict::Granted => {
                    counts.add("granted");
                    let (runs, first) = self.runs.entry(*key).or_insert((0, self.stamp));
                    if self.stamp >= *first + WINDOW.as_secs() {
                        (*runs, *first) = (0, self.stamp);
                    }
                    *runs += 1;
                    assert_eq!(*runs, 1, "key {key} was granted twice within the window");
                }
                ClaimVerdict::Held(_) => counts.add("held"),
                ClaimVerdict::Full => counts.add("full"),
            }
        }
    }
}

#[test]
fn a_key_is_granted_once_within_its_window() {
    fuzz::fuzz("claims", 300, 2000, |u, counts| {
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
            match below(u, 20) {
                0..=5 => w.begin(u),
                6..=15 if !w.running.is_empty() => w.advance(u, counts),
                16 if !w.late.is_empty() => {
                    let (text, revision) = w.late.swap_remove(below(u, w.late.len()));
                    w.store.compare_and_swap(KEY, &text, revision, None);
                }
                17 if chance(u, 10) && w.running.is_empty() => {
                    counts.add("window passed");
                    w.stamp += WINDOW.as_secs();
                }
                _ => {}
            }
        }
    });
}

#[test]
fn an_outcome_is_kept_and_a_request_that_did_not_run_gives_its_key_back() {
    let (key, first, second) = (KeyHash(1), AttemptId(1), AttemptId(2));
    let mut book = Book::default();
    let claim = |book: &mut Book, id| book.apply(&[Wish::Claim(key, id)], 100)[0];
    assert_eq!(claim(&mut book, first), ClaimVerdict::Granted);
    assert_eq!(
        claim(&mut book, second),
        ClaimVerdict::Held(KeyState::Pending)
    );
    // Only the claim that holds the key may settle or release it.
    book.apply(
        &[Wish::Release(key, second), Wish::Settle(key, second, 200)],
        100,
    );
    assert_eq!(
        claim(&mut book, second),
        ClaimVerdict::Held(KeyState::Pending)
    );
    book.apply(&[Wish::Settle(key, first, 201)], 100);
    assert_eq!(
        claim(&mut book, second),
        ClaimVerdict::Held(KeyState::Answered(201))
    );
    book.apply(&[Wish::Release(key, first)], 100);
    assert_eq!(claim(&mut book, second), ClaimVerdict::Granted);
}

#[test]
fn a_full_book_refuses_and_fits_into_one_value() {
    let mut book = Book::default();
    let claims: Vec<Wish> = (0..BOOK_MAX as u128)
        .map(|n| Wish::Claim(KeyHash(u128::MAX - n), AttemptId(u128::MAX - n)))
        .collect();
    assert!(
        book.apply(&claims, 9_999_999_999)
            .iter()
            .all(|v| *v == ClaimVerdict::Granted)
    );
    let more = [Wish::Claim(KeyHash(1), AttemptId(1))];
    assert_eq!(book.apply(&more, 9_999_999_999), [ClaimVerdict::Full]);
    assert!(encode_claim_table(&book).len() < 1 << 20);
}
