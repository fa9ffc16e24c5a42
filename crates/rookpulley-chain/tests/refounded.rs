//! The majority of a view is gone for good, and the store of one that is left founds anew.

mod world;

use world::{Fault, World};

/// So many of each; `CHAIN_CASES=200` plays more.
fn seeds() -> u64 {
    std::env::var("CHAIN_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(3)
}

fn calm(seed: u64, controllers: usize, losses: usize) -> World {
    let mut world = World::new(seed, controllers, losses);
    world.run(2_000 + 7 * seed);
    assert_eq!(world.members(), controllers);
    world
}

/// All that run show the same, and nothing acknowledged is missing.
fn in_step(world: &mut World, members: usize) {
    world.assert_updates_complete();
    world.call_interval_ms = 1_000_000;
    world.run(2_000);
    world.call_interval_ms = 9;
    assert_eq!((world.members(), world.running().len()), (members, members));
    for at in world.running() {
        assert!(
            world.applied(at) == world.global_order,
            "controller {at} shows something else"
        );
    }
    world.check();
}

#[test]
fn one_of_three_founds_anew_and_empty_ones_join_it() {
    for seed in 0..2 * seeds() {
        let mut world = calm(seed, 3, 1);
        let left = (seed % 3) as usize;
        world
            .others(left)
            .into_iter()
            .for_each(|at| world.lose(at, seed % 2 == 0));
        world.run(2_000 * (seed % 2));
        let before = world.took.len();
        world.refound(left, seed % 4 < 2);
        assert_eq!(world.forgotten, 0, "all members have what was acknowledged");
        world.run(700);
        let shown = world.status(left).unwrap();
        assert!(
            shown.acting && shown.in_touch && shown.view == shown.active,
            "{shown:?}"
        );
        assert!(shown.view >= 1_000_000 && world.members() == 1);
        assert_eq!(
            world.took.len(),
            before,
            "alone it may not acknowledge anything"
        );
        world.add_empty_node();
        world.run(1_500);
        world.assert_updates_complete();
        world.add_empty_node();
        world.run(1_500);
        in_step(&mut world, 3);
    }
}

#[test]
fn one_of_five_founds_anew_old_ones_give_way_and_troubles_are_borne_as_ever() {
    for seed in 0..seeds() {
        let mut world = calm(seed, 5, 2);
        let left = (seed % 5) as usize;
        let others = world.others(left);
        let (gone, old) = others.split_at(3);
        gone.iter().for_each(|at| world.lose(*at, seed % 2 == 0));
        old.iter().for_each(|at| world.lose(*at, true));
        world.refound(left, true);
        assert_eq!(world.forgotten, 0);
        // One that runs on, with its vote for the view after the old one, and one that comes back much later.
        old.iter().for_each(|at| world.restart_lost(*at));
        world.add_empty_node();
        world.run(2_500);
        world.assert_updates_complete();
        world.restart_lost(gone[0]);
        world.run(1_500);
        in_step(&mut world, 4);
        for _ in 0..3 {
            let fault = world.random_fault(true);
            world.inject(fault);
            world.run(2_000);
            world.heal();
            world.run(4_000);
            world.check();
        }
        in_step(&mut world, 4);
    }
}

/// The one that founds anew was cut off for a while: the two others went on, and what they acknowledged is gone with
/// them. One of them comes back holding it.
fn behind(seed: u64) -> (World, usize, usize) {
    let mut world = calm(seed, 3, 1);
    let (left, others) = ((seed % 3) as usize, world.others((seed % 3) as usize));
    world.inject(Fault::Cut {
        from: vec![left],
        to: others.clone(),
        both: true,
        held: false,
    });
    world.call_interval_ms = 3;
    world.run(6_000);
    world.call_interval_ms = 9;
    let later = others[(seed / 3 % 2) as usize];
    others
        .iter()
        .filter(|at| **at != later)
        .for_each(|at| world.lose(*at, true));
    (world, left, later)
}

#[test]
fn one_that_comes_back_holding_more_does_not_bring_it_back() {
    for seed in 0..2 * seeds() {
        let (mut world, left, later) = behind(seed);
        world.lose(later, seed % 2 == 0);
        world.heal();
        world.refound(left, true);
        assert!(world.forgotten > 500, "{}", world.forgotten);
        world.run(300);
        world.restart_lost(later);
        world.run(1_000);
        assert_eq!(world.members(), 2);
        world.add_empty_node();
        world.run(1_500);
        in_step(&mut world, 3);
    }
}

#[test]
fn one_that_ran_all_the_while_out_of_reach_gives_way_once_it_hears() {
    for seed in 0..2 * seeds() {
        let (mut world, left, later) = behind(seed);
        world.run(100);
        world.refound(left, seed % 2 == 0);
        assert!(world.forgotten > 500, "{}", world.forgotten);
        let held = world.applied(later).len();
        world.run(1_000);
        assert!(!world.status(later).unwrap().in_touch, "it is one of two");
        world.heal();
        world.run(2_000);
        assert!(world.members() == 2 && world.applied(later).len() < held);
        world.add_empty_node();
        world.run(1_500);
        in_step(&mut world, 3);
    }
}

#[test]
fn of_two_that_were_founded_anew_by_mistake_one_gives_way() {
    for seed in 0..2 * seeds() {
        let mut world = calm(seed, 3, 1);
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
        in_step(&mut world, 3);
    }
}
