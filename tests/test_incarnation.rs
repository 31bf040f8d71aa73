//! A node restarts after its previous process ran with a clock that was ahead.
//!
//! Incarnations are taken from the clock, so the new process starts with a lower incarnation than
//! its peers have recorded for its address. They ignore its records and drop its datagrams as
//! replays until it chooses a higher incarnation.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use tarragoncourse::experiment::fleet::{Fleet, ZONES};
use tarragoncourse::protocol::datagram::{Datagram, DatagramSealer};
use tarragoncourse::protocol::key::FleetKey;
use tarragoncourse::protocol::peer::PeerRequest;
use tarragoncourse::state::id::{Incarnation, Version};
use tarragoncourse::state::member::{Health, MemberRecord};
use tarragoncourse::transport::link::send_request;

const WAIT_TIMEOUT: Duration = Duration::from_secs(25);

/// Returns the incarnation and state that node `observer` has recorded for node `subject`.
fn observed_state(fleet: &Fleet, observer: usize, subject: usize) -> (u64, String) {
    let dump = fleet.node(observer).dump();
    let peer = fleet.node(subject).addresses().peers.to_string();
    let records = dump["members"]["records"]
        .as_array()
        .expect("the dump lists the member records");
    let record = records
        .iter()
        .find(|r| r["peer"] == peer.as_str())
        .expect("the observer has a record of the subject");
    let state = record["state"]
        .as_str()
        .expect("the record has a state")
        .to_string();
    (
        record["incarnation"]
            .as_u64()
            .expect("the record has an incarnation"),
        state,
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_supersedes_a_previous_incarnation_from_the_future() {
    let mut fleet = Fleet::default();
    fleet.add_nodes(2).await.expect("nodes start");
    fleet
        .wait_until_joined(WAIT_TIMEOUT)
        .await
        .expect("nodes join in time");
    let (first, second) = (fleet.node(0).addresses(), fleet.node(1).addresses());
    let future_incarnation = observed_state(&fleet, 1, 0).0 + 3_600_000;

    // Create the state that the previous process left at the other node: a replay window and a
    // member record, both with the future incarnation.
    let key = FleetKey::derive("fleet key of an experiment");
    let datagram = DatagramSealer::new(key.clone(), first.peers, Incarnation(future_incarnation))
        .seal(&Datagram::Announce(Version(0)));
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
    socket
        .send_to(&datagram, second.peers)
        .expect("send the datagram");
    let record = MemberRecord {
        peer: first.peers,
        gate_port: first.gate.port(),
        incarnation: Incarnation(future_incarnation),
        sequence: 1,
        zone: ZONES[0].into(),
        health: Health::Ready,
        watcher: false,
        link_mbit: 0,
        target: None,
    };
    let reply = send_request(&key, second.peers, &PeerRequest::Join(record), WAIT_TIMEOUT).await;
    reply.expect("the node replies with its member table");

    // The new process must be accepted in 70 consecutive checks, that is for about 7 s.
    let started = Instant::now();
    let mut consecutive_ready = 0;
    while consecutive_ready < 70 {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the node was not accepted for long enough: {:?}",
            observed_state(&fleet, 1, 0)
        );
        let (incarnation, state) = observed_state(&fleet, 1, 0);
        let accepted = incarnation > future_incarnation && state == "ready";
        consecutive_ready = if accepted { consecutive_ready + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.shut_down();
}
