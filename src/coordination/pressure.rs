//! Decides how much a node spends on requests that gates are likely to refuse.
//!
//! The load pattern is a shortage of a whole service: every gate refuses most attempts, and each further
//! attempt costs a hop, bytes between zones and processor time at two nodes, but serves no additional
//! request, since the slots are full either way. The share of recent attempts that gates admitted says
//! how far a request may look for a slot. When hardly any is admitted, most requests are refused where
//! they entered; the others are sent and show when the shortage ends.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::id::Path;

/// Time in which an attempt loses half of its weight in the share. It is short, so that requests are sent
/// again within a second after a shortage has ended.
const HALF_LIFE: Duration = Duration::from_millis(800);
/// Number of admitted attempts that are assumed before there is any. A node sends few requests to a
/// service, and a few refusals in a row do not make a shortage.
const PRIOR_ADMITTED: f64 = 1.0;
/// Share of admitted attempts from which a request may look for a slot as often as without a shortage.
const FULL_SEARCH_SHARE: f64 = 0.5;
/// Share of admitted attempts below which most requests are refused without an attempt.
const REFUSE_SHARE: f64 = 0.15;
/// Share of the requests that are sent during a shortage, so that its end is seen.
const PROBE_SHARE: f64 = 0.3;
/// Share of the requests that may leave their zone during a shortage, so that room elsewhere is found.
const EXPLORE_SHARE: f64 = 0.2;
/// Maximum number of levels of priority that are told apart.
const LEVELS_MAX: u8 = 4;

/// What to do with a request before its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Search {
    /// Send it.
    Gates {
        /// Number of refusals by gates after which it is sent again, at most.
        max_bounces: u8,
        /// Whether it stays in its availability zone. While targets everywhere are full, a slot in
        /// another zone is only taken from a request there.
        stay: bool,
    },
    /// Refuse it now; it may be sent again after this time.
    Refuse(Duration),
}

/// Recent attempts of one service at one level of priority.
#[derive(Clone, Copy, Debug)]
struct Level {
    admitted: f64,
    refused: f64,
    at: Instant,
    /// Shortest time after which a gate that refused may have a slot, by its last refusals.
    backlog: Duration,
}

impl Level {
    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(age);
        self.admitted *= factor;
        self.refused *= factor;
        self.at = now;
    }

    fn admitted_share(&self, now: Instant) -> f64 {
        let mut level = *self;
        level.decay(now);
        let admitted = level.admitted + PRIOR_ADMITTED;
        admitted / (admitted + level.refused)
    }
}

/// Recent attempts of one node, by service and level of priority.
#[derive(Debug, Default)]
pub struct Pressure {
    levels: HashMap<Path, [Option<Level>; LEVELS_MAX as usize]>,
    refused_locally: u64,
}

impl Pressure {
    /// Records an attempt that a gate admitted (`None`), or refused because it had no slot, with the time
    /// after which it may have one.
    pub fn record(
        &mut self,
        service: &Path,
        priority: u8,
        refusal: Option<Duration>,
        now: Instant,
    ) {
        if !self.levels.contains_key(service) {
            self.levels.insert(service.clone(), Default::default());
        }
        let Some(levels) = self.levels.get_mut(service) else {
            return;
        };
        let level = levels[index(priority)].get_or_insert(Level {
            admitted: 0.0,
            refused: 0.0,
            at: now,
            backlog: Duration::ZERO,
        });
        level.decay(now);
        match refusal {
            None => level.admitted += 1.0,
            Some(backlog) => {
                level.refused += 1.0;
                level.backlog = backlog;
            }
        }
    }

    /// Decides how far a request may look for a slot. `max_bounces` is the number of refusals by gates
    /// after which a request is given up without a shortage, `random` a uniform number below one.
    ///
    /// ```
    /// use tarragoncourse::coordination::pressure::{Pressure, Search};
    /// use tarragoncourse::state::id::Path;
    /// use tokio::time::Instant;
    /// let service = Path::new("guild/services/cutbook").unwrap();
    /// let mut pressure = Pressure::default();
    /// let now = Instant::now();
    /// let all = Search::Gates { max_bounces: 3, stay: false };
    /// assert_eq!(pressure.search(&service, 1, 3, 0.9, now), all);
    /// ```
    pub fn search(
        &mut self,
        service: &Path,
        priority: u8,
        max_bounces: u8,
        random: f64,
        now: Instant,
    ) -> Search {
        let levels = self.levels.get(service);
        let Some(level) = levels.and_then(|l| l[index(priority)]) else {
            return Search::Gates {
                max_bounces,
                stay: false,
            };
        };
        let share = level.admitted_share(now);
        if share < REFUSE_SHARE && random >= PROBE_SHARE {
            self.refused_locally += 1;
            return Search::Refuse(level.backlog);
        }
        let part = (share / FULL_SEARCH_SHARE).min(1.0);
        Search::Gates {
            max_bounces: (f64::from(max_bounces) * part).floor() as u8,
            stay: part < 1.0 && random >= EXPLORE_SHARE,
        }
    }

    /// Number of requests that were refused without an attempt.
    pub fn refused_locally(&self) -> u64 {
        self.refused_locally
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority.min(LEVELS_MAX - 1))
}
