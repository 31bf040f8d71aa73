//! An address whose earlier life had a clock that was ahead.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use tarragoncourse::experiment::fleet::{Fleet, ZONES};
use tarragoncourse::protocol::datagram::{Datagram, DatagramSealer};
use tarragoncourse::protocol::key::FleetKey;
use tarragoncourse::protocol::peer::PeerRequest;
use tarragoncourse::state::id::{Incarnation, Version};
use tarragoncourse::state::member::{Health, MemberRecord};
use tarragoncourse::transport::link::send_request;

const PATIENCE: Duration = Duration::from_secs(25);

/// Incarnation and state of an address as a node sees it.
fn seen(fleet: &Fleet, by: usize, of: usize) -> (u64, String) {
    let dump = fleet.node(by).dump();
    let peer = fleet.node(of).addresses().peers.to_string();
    let records = dump["members"]["records"].as_array().expect("records");
    let found = records
        .iter()
        .find(|r| r["peer"] == peer.as_str())
        .expect("a record");
    let state = found["state"].as_str().expect("a state").to_string();
    (found["incarnation"].as_u64().expect("a number"), state)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_outbids_an_earlier_life_and_is_heard_again() {
    let mut fleet = Fleet::default();
    fleet.add_nodes(2).await.expect("sockets");
    fleet.wait_until_joined(PATIENCE).await.expect("joined");
    let (own, other) = (fleet.node(0).addresses(), fleet.node(1).addresses());
    let future = seen(&fleet, 1, 0).0 + 3_600_000;

    // What the earlier life left behind at the other node: a replay window and a record.
    let key = FleetKey::derive("fleet key of an experiment");
    let old = DatagramSealer::new(key.clone(), own.peers, Incarnation(future))
        .seal(&Datagram::Announce(Version(0)));
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.send_to(&old, other.peers).expect("sent");
    let record = MemberRecord {
        peer: own.peers,
        gate_port: own.gate.port(),
        incarnation: Incarnation(future),
        sequence: 1,
        zone: ZONES[0].into(),
        health: Health::Ready,
        watcher: false,
        link_mbit: 0,
        target: None,
    };
    let joined = send_request(&key, other.peers, &PeerRequest::Join(record), PATIENCE).await;
    joined.expect("a table");

    let began = Instant::now();
    let mut steady = 0;
    while steady < 70 {
        assert!(
            began.elapsed() < PATIENCE,
            "still not heard: {:?}",
            seen(&fleet, 1, 0)
        );
        let (incarnation, state) = seen(&fleet, 1, 0);
        let heard = incarnation > future && state == "ready";
        steady = if heard { steady + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.shut_down();
}
