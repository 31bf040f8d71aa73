//! The platform's store: a restore from an older backup, and a new node that reads a snapshot.

use std::time::Duration;

use tarragoncourse::coordination::commit::CommitOutcome;
use tarragoncourse::experiment::convergence::{put_service, put_team};
use tarragoncourse::experiment::fleet::Fleet;
use tarragoncourse::protocol::record::{HEAD_KEY, decode_head};
use tarragoncourse::state::id::Version;
use tarragoncourse::transport::platform::Platform;

const PATIENCE: Duration = Duration::from_secs(20);

async fn change(fleet: &Fleet, round: usize) -> Option<Version> {
    match fleet
        .node(0)
        .apply_as_admin(vec![put_team(), put_service(0, round)])
        .await
    {
        CommitOutcome::Accepted { snapshot, .. } => Some(snapshot.version()),
        _ => None,
    }
}

async fn fleet(nodes: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.add_nodes(nodes).await.expect("sockets");
    fleet.wait_until_joined(PATIENCE).await.expect("joined");
    fleet
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_lost_versions_gets_them_back() {
    let fleet = fleet(3).await;
    assert_eq!(change(&fleet, 1).await, Some(Version(1)));
    let backup = fleet.platform.backup();
    for round in 2..5 {
        assert!(change(&fleet, round).await.is_some());
    }
    fleet
        .wait_for_version(Version(4), PATIENCE)
        .await
        .expect("in force");
    fleet.platform.restore(backup);
    // A watcher or the next change finds the older head; no node follows it.
    let mut newest = None;
    for round in 5..40 {
        newest = change(&fleet, round).await;
        assert!(
            (0..3).all(|n| fleet.node(n).version() >= Version(4)),
            "a node went back"
        );
        if newest.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(newest, Some(Version(5)));
    fleet
        .wait_for_version(Version(5), PATIENCE)
        .await
        .expect("in force");
    let head = fleet
        .platform
        .get(HEAD_KEY)
        .await
        .expect("up")
        .expect("there");
    assert_eq!(decode_head(&head.text).expect("a head").version, Version(5));
    fleet.shut_down();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_node_reads_a_snapshot_and_the_changes_after_it() {
    let mut first = fleet(1).await;
    for round in 0..70 {
        assert!(change(&first, round).await.is_some());
    }
    // A task of its own writes the snapshot of version 64 after that change is accepted.
    let started = tokio::time::Instant::now();
    while first.platform.list("snapshot").await.expect("up").len() < 2 {
        assert!(started.elapsed() < PATIENCE, "an index and a piece");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The only holder dies; a new node has nothing but the platform.
    first.nodes.remove(0).kill();
    first.add_nodes(1).await.expect("sockets");
    first
        .wait_for_version(Version(70), PATIENCE)
        .await
        .expect("in force");
    first.shut_down();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_records_and_replaced_snapshots_are_collected() {
    let mut first = fleet(1).await;
    for round in 0..1300 {
        assert!(change(&first, round).await.is_some());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    // A thousand versions of history are kept, and up to two steps of snapshots more.
    let records = first.platform.list("change/").await.expect("up").len();
    assert!(
        (1000..1000 + 3 * 64).contains(&records),
        "{records} records"
    );
    let pieces = first.platform.list("snapshot/").await.expect("up").len();
    assert_eq!(pieces, 1, "the newest snapshot alone");
    // What is left is enough for a node that has nothing.
    first.nodes.remove(0).kill();
    first.add_nodes(1).await.expect("sockets");
    first
        .wait_for_version(Version(1300), PATIENCE)
        .await
        .expect("in force");
    first.shut_down();
}
