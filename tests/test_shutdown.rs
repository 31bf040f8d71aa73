//! Times of a graceful shutdown within a grace period.

use std::time::Duration;

use tarragoncourse::coordination::shutdown::ShutdownTimes;
use tarragoncourse::state::units::parse_duration;

const NOTICE: Duration = Duration::from_millis(2100);
const DRAIN: Duration = Duration::from_secs(30);

/// Guards against a shutdown that gives up requests long before the process is killed, or is still
/// under way when it is.
#[test]
fn a_shutdown_takes_most_of_any_grace_period() {
    for grace_ms in [0, 1, 500, 1_000, 2_000, 6_000, 6_500, 10_000, 30_000] {
        let grace = Duration::from_millis(grace_ms);
        let times = ShutdownTimes::new(NOTICE, DRAIN, Some(grace));
        let total = times.notice + times.drain;
        assert!(total <= grace, "{grace:?}: {times:?}");
        // Requests that a target still runs in the last sixth of the grace period may be cut off.
        assert!(total >= grace * 5 / 6, "{grace:?}: {times:?}");
        assert!(times.drain >= times.notice, "{grace:?}: {times:?}");
        assert!(times.notice <= NOTICE, "{grace:?}: {times:?}");
    }
}

#[test]
fn configured_times_apply_where_the_grace_period_leaves_room() {
    let short = Duration::from_secs(3);
    let times = ShutdownTimes {
        notice: NOTICE,
        drain: short,
    };
    assert_eq!(ShutdownTimes::new(NOTICE, short, None), times);
    let grace = Duration::from_secs(60);
    assert_eq!(ShutdownTimes::new(NOTICE, short, Some(grace)), times);
}

/// A deployment may give its grace period as a fraction of seconds.
#[test]
fn durations_may_have_a_fraction() {
    assert_eq!(parse_duration("6.5s"), Ok(Duration::from_millis(6500)));
    assert_eq!(parse_duration("0.25m"), Ok(Duration::from_secs(15)));
    for text in [".5s", "6.s", "1.2.3s", ".", "6.5", "-1s", "1e3s", ""] {
        assert!(parse_duration(text).is_err(), "{text}");
    }
}
