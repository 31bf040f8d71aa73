//! The configuration in the platform's store: restore of an older backup, a new node that reads a
//! snapshot, and deletion of old records.

use std::sync::Arc;
use std::time::Duration;

use tarragoncourse::coordination::commit::CommitOutcome;
use tarragoncourse::experiment::convergence::{put_service, put_team};
use tarragoncourse::experiment::fleet::Fleet;
use tarragoncourse::protocol::record::{HEAD_KEY, decode_head};
use tarragoncourse::standin::platform::MemoryPlatform;
use tarragoncourse::standin::server::PlatformServer;
use tarragoncourse::state::id::Version;
use tarragoncourse::state::revision::Revision;
use tarragoncourse::transport::http::{ServeLimits, serve};
use tarragoncourse::transport::kv::HttpPlatform;
use tarragoncourse::transport::platform::Platform;
use tokio::net::TcpListener;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Applies a change as admin at node 0. Returns its version, or `None` if it was not accepted.
async fn apply_change(fleet: &Fleet, round: usize) -> Option<Version> {
    match fleet
        .node(0)
        .apply_as_admin(vec![put_team(), put_service(0, round)])
        .await
    {
        CommitOutcome::Accepted { snapshot, .. } => Some(snapshot.version()),
        _ => None,
    }
}

async fn start_fleet(nodes: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.add_nodes(nodes).await.expect("nodes start");
    fleet
        .wait_until_joined(WAIT_TIMEOUT)
        .await
        .expect("nodes join in time");
    fleet
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn versions_lost_by_restoring_a_backup_are_written_again() {
    let fleet = start_fleet(3).await;
    assert_eq!(apply_change(&fleet, 1).await, Some(Version(1)));
    let backup = fleet.platform.backup();
    for round in 2..5 {
        assert!(apply_change(&fleet, round).await.is_some());
    }
    fleet
        .wait_for_version(Version(4), WAIT_TIMEOUT)
        .await
        .expect("the version is in force in time");
    fleet.platform.restore(backup);
    // A watcher or the next change detects the older head. No node may return to its version.
    let mut new_version = None;
    for round in 5..40 {
        new_version = apply_change(&fleet, round).await;
        assert!(
            (0..3).all(|n| fleet.node(n).version() >= Version(4)),
            "a node returned to an older version"
        );
        if new_version.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(new_version, Some(Version(5)));
    fleet
        .wait_for_version(Version(5), WAIT_TIMEOUT)
        .await
        .expect("the version is in force in time");
    let head = fleet
        .platform
        .get(HEAD_KEY)
        .await
        .expect("the platform responds")
        .expect("the head exists");
    assert_eq!(
        decode_head(&head.text).expect("the head is valid").version,
        Version(5)
    );
    fleet.shut_down();
}

/// Versions are lost, and the head of the older copy is written until it has the revision that the
/// watchers have seen last.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_older_head_at_the_watched_revision_is_noticed() {
    let fleet = start_fleet(3).await;
    assert_eq!(apply_change(&fleet, 1).await, Some(Version(1)));
    let backup = fleet.platform.backup();
    assert_eq!(apply_change(&fleet, 2).await, Some(Version(2)));
    fleet
        .wait_for_version(Version(2), WAIT_TIMEOUT)
        .await
        .expect("the version is in force in time");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let read_head = async || {
        let head = fleet.platform.get(HEAD_KEY).await;
        head.expect("the platform responds")
            .expect("the head exists")
    };
    let watched = read_head().await.revision.number;
    let mut copy = backup;
    while copy.get(HEAD_KEY).expect("the head exists").revision.number < watched {
        let head = copy.get(HEAD_KEY).expect("the head exists");
        copy.compare_and_swap(HEAD_KEY, &head.text, head.revision, None);
    }
    fleet.platform.restore(copy);
    let started = tokio::time::Instant::now();
    loop {
        let head = decode_head(&read_head().await.text).expect("the head is valid");
        if head.version == Version(2) {
            break;
        }
        assert!(
            started.elapsed() < Duration::from_secs(8),
            "the head is still at version {}",
            head.version
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.shut_down();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_node_reads_a_snapshot_and_the_changes_after_it() {
    let mut fleet = start_fleet(1).await;
    for round in 0..70 {
        assert!(apply_change(&fleet, round).await.is_some());
    }
    // A background task writes the snapshot of version 64 after that change is accepted.
    let started = tokio::time::Instant::now();
    while fleet
        .platform
        .list("snapshot")
        .await
        .expect("the platform responds")
        .len()
        < 2
    {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the index and the piece of the snapshot were not written in time"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // After the only node is killed, a new node can read the configuration only from the platform.
    fleet.nodes.remove(0).kill();
    fleet.add_nodes(1).await.expect("nodes start");
    fleet
        .wait_for_version(Version(70), WAIT_TIMEOUT)
        .await
        .expect("the version is in force in time");
    fleet.shut_down();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_records_and_replaced_snapshots_are_deleted() {
    let mut fleet = start_fleet(1).await;
    for round in 0..1300 {
        assert!(apply_change(&fleet, round).await.is_some());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    // The history keeps 1000 versions, plus up to two snapshot intervals of 64 versions. The check
    // allows less than three.
    let records = fleet
        .platform
        .list("change/")
        .await
        .expect("the platform responds")
        .len();
    assert!(
        (1000..1000 + 3 * 64).contains(&records),
        "{records} records"
    );
    let pieces = fleet
        .platform
        .list("snapshot/")
        .await
        .expect("the platform responds")
        .len();
    assert_eq!(pieces, 1, "expected only the piece of the newest snapshot");
    // The remaining records are enough for a new node without state.
    fleet.nodes.remove(0).kill();
    fleet.add_nodes(1).await.expect("nodes start");
    fleet
        .wait_for_version(Version(1300), WAIT_TIMEOUT)
        .await
        .expect("the version is in force in time");
    fleet.shut_down();
}

/// The revision that a condition names has been given out again, to another value.
#[tokio::test]
async fn a_condition_of_an_earlier_era_does_not_overwrite_another_value() {
    let served = MemoryPlatform::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    let limits = ServeLimits {
        max_connections: 16,
        drain_timeout: Duration::ZERO,
    };
    let server = Arc::new(PlatformServer::from(served.clone()));
    tokio::spawn(serve(listener, server, limits, stopped));
    let client = HttpPlatform::new(address);
    let copy = served.backup();
    let write = client.compare_and_swap("k", "before", Revision::ABSENT, None);
    let before = write.await.expect("a response").expect("written");
    served.restore(copy);
    let write = served.compare_and_swap("k", "after", Revision::ABSENT, None);
    let after = write.await.expect("a response").expect("written");
    assert_eq!(after.number, before.number);
    let swapped = client.compare_and_swap("k", "mine", before, None).await;
    assert_eq!(swapped, Ok(None));
    assert_eq!(client.delete("k", before).await, Ok(false));
    let value = client.get("k").await.expect("a response").expect("a value");
    assert_eq!(value.text, "after");
}
