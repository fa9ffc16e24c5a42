//! The connections that a controller maintains to others.

use rookpulley_chain::{Member, View};
use rookpulley_control::{Controller, ControllerStart, Effect, Rows};
use std::net::{Ipv4Addr, SocketAddrV4};

const SEED: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const ME: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
const OTHER_MEMBER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);
const VOTER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 4);

fn member(ip: Ipv4Addr) -> Member {
    Member {
        id: ip.octets()[3].into(),
        incarnation: 1,
        address: SocketAddrV4::new(ip, 7_721),
    }
}

/// The rows of a store with a view of two members and a voter.
fn rows_with_view() -> Rows {
    let view = View {
        number: 2,
        members: vec![member(ME), member(OTHER_MEMBER)],
        voters: vec![member(VOTER)],
    };
    let key = [b"v".to_vec(), view.number.to_be_bytes().to_vec()].concat();
    vec![(key, postcard::to_allocvec(&view).unwrap())]
}

fn restarted_member() -> Controller {
    Controller::new(ControllerStart {
        me: member(ME),
        bootstrap: None,
        seeds: vec![SocketAddrV4::new(SEED, 8_166)],
        tolerated_losses: 1,
        heartbeat_ms: 1_500,
        drain_ms: 2_500,
        zone: "quay".into(),
        origin_unix_ms: 0.0,
        usage_duty: None,
        usage_window: None,
        chain_rows: Some(rows_with_view()),
        instance_rows: Vec::new(),
    })
}

fn connects(controller: &mut Controller) -> Vec<Ipv4Addr> {
    let effects = controller.take_effects().into_iter();
    let addresses = effects.filter_map(|effect| match effect {
        Effect::Connect(ip) => Some(ip),
        _ => None,
    });
    addresses.collect()
}

/// Guards against a voter that nobody dials after a long absence, though a quorum may need it.
#[test]
fn a_silent_voter_is_dialed_however_long_it_was_away() {
    let mut controller = restarted_member();
    controller.tick(50.0, 1);
    let mut dialed = connects(&mut controller);
    dialed.sort();
    assert_eq!(dialed, [SEED, OTHER_MEMBER, VOTER]);
    let later_ms = 60_000.0;
    assert!(controller.is_peer_wanted(later_ms, OTHER_MEMBER));
    assert!(controller.is_peer_wanted(later_ms, VOTER));
    controller.forget_peer(VOTER);
    controller.tick(later_ms, 2);
    assert!(connects(&mut controller).contains(&VOTER));
}
