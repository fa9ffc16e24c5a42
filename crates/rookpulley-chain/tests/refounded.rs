//! Refounding from the store of a survivor after a majority of a view is lost for good.

mod world;

use world::{Fault, World};

/// The number of seeds for each case, from `CHAIN_CASES` or 3.
fn seeds() -> u64 {
    std::env::var("CHAIN_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(3)
}

fn healthy_chain(seed: u64, controllers: usize, losses: usize) -> World {
    let mut world = World::new(seed, controllers, losses);
    world.run(2_000 + 7 * seed);
    assert_eq!(world.members(), controllers);
    world
}

/// Asserts that all running members have applied the same updates, and that no acknowledged one is missing.
fn assert_replicas_match(world: &mut World, members: usize) {
    world.assert_updates_complete();
    world.call_interval_ms = 1_000_000;
    world.run(2_000);
    world.call_interval_ms = 9;
    assert_eq!((world.members(), world.running().len()), (members, members));
    for at in world.running() {
        assert!(
            world.applied(at) == world.global_order,
            "controller {at} has applied other updates"
        );
    }
    world.check();
}

#[test]
fn one_of_three_refounds_and_empty_controllers_join() {
    for seed in 0..2 * seeds() {
        let mut world = healthy_chain(seed, 3, 1);
        let survivor = (seed % 3) as usize;
        world
            .others(survivor)
            .into_iter()
            .for_each(|at| world.lose(at, seed % 2 == 0));
        world.run(2_000 * (seed % 2));
        let before = world.took.len();
        world.refound(survivor, seed % 4 < 2);
        assert_eq!(
            world.forgotten, 0,
            "every member holds all acknowledged updates"
        );
        world.run(700);
        let status = world.status(survivor).unwrap();
        assert!(
            status.acting && status.in_touch && status.view == status.active,
            "{status:?}"
        );
        assert!(status.view >= 1_000_000 && world.members() == 1);
        assert_eq!(
            world.took.len(),
            before,
            "a single member must not acknowledge updates"
        );
        world.add_empty_node();
        world.run(1_500);
        world.assert_updates_complete();
        world.add_empty_node();
        world.run(1_500);
        assert_replicas_match(&mut world, 3);
    }
}

#[test]
fn one_of_five_refounds_old_members_rejoin_and_faults_are_tolerated() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 5, 2);
        let survivor = (seed % 5) as usize;
        let others = world.others(survivor);
        let (gone, old) = others.split_at(3);
        gone.iter().for_each(|at| world.lose(*at, seed % 2 == 0));
        old.iter().for_each(|at| world.lose(*at, true));
        world.refound(survivor, true);
        assert_eq!(world.forgotten, 0);
        // One old member returns now, with its vote for the successor of the old view, and another one much later.
        old.iter().for_each(|at| world.restart_lost(*at));
        world.add_empty_node();
        world.run(2_500);
        world.assert_updates_complete();
        world.restart_lost(gone[0]);
        world.run(1_500);
        assert_replicas_match(&mut world, 4);
        for _ in 0..3 {
            let fault = world.random_fault(true);
            world.inject(fault);
            world.run(2_000);
            world.heal();
            world.run(4_000);
            world.check();
        }
        assert_replicas_match(&mut world, 4);
    }
}

/// Isolates one controller while the two others acknowledge more updates, then loses one of the two. Returns the
/// isolated controller, which will be refounded, and the one that still holds the later updates.
fn with_lagging_survivor(seed: u64) -> (World, usize, usize) {
    let mut world = healthy_chain(seed, 3, 1);
    let (survivor, others) = ((seed % 3) as usize, world.others((seed % 3) as usize));
    world.inject(Fault::Cut {
        from: vec![survivor],
        to: others.clone(),
        both: true,
        held: false,
    });
    world.call_interval_ms = 3;
    world.run(6_000);
    world.call_interval_ms = 9;
    let ahead = others[(seed / 3 % 2) as usize];
    others
        .iter()
        .filter(|at| **at != ahead)
        .for_each(|at| world.lose(*at, true));
    (world, survivor, ahead)
}

#[test]
fn a_returning_member_does_not_restore_forgotten_updates() {
    for seed in 0..2 * seeds() {
        let (mut world, survivor, ahead) = with_lagging_survivor(seed);
        world.lose(ahead, seed % 2 == 0);
        world.heal();
        world.refound(survivor, true);
        assert!(world.forgotten > 500, "{}", world.forgotten);
        world.run(300);
        world.restart_lost(ahead);
        world.run(1_000);
        assert_eq!(world.members(), 2);
        world.add_empty_node();
        world.run(1_500);
        assert_replicas_match(&mut world, 3);
    }
}

#[test]
fn an_unreachable_old_member_joins_the_refounded_chain_on_contact() {
    for seed in 0..2 * seeds() {
        let (mut world, survivor, ahead) = with_lagging_survivor(seed);
        world.run(100);
        world.refound(survivor, seed % 2 == 0);
        assert!(world.forgotten > 500, "{}", world.forgotten);
        let held = world.applied(ahead).len();
        world.run(1_000);
        assert!(
            !world.status(ahead).unwrap().in_touch,
            "it has lost its majority"
        );
        world.heal();
        world.run(2_000);
        assert!(world.members() == 2 && world.applied(ahead).len() < held);
        world.add_empty_node();
        world.run(1_500);
        assert_replicas_match(&mut world, 3);
    }
}

#[test]
fn of_two_chains_refounded_by_mistake_one_is_abandoned() {
    for seed in 0..2 * seeds() {
        let mut world = healthy_chain(seed, 3, 1);
        world.call_interval_ms = 1_000_000;
        world.run(1_000);
        (0..3).for_each(|at| world.lose(at, true));
        let both = [(seed % 3) as usize, ((seed + 1) % 3) as usize];
        both.iter().for_each(|at| world.refound(*at, true));
        world.call_interval_ms = 9;
        world.run(1_500);
        assert_eq!(world.members(), 2);
        world.add_empty_node();
        world.run(1_500);
        assert_replicas_match(&mut world, 3);
    }
}
