//! The reported number of further losses that the chain tolerates.

mod world;

use world::World;

/// The spare losses reported by the members, which must agree.
fn spare(world: &World) -> usize {
    let members = world
        .running()
        .into_iter()
        .filter_map(|at| world.status(at))
        .filter(|status| status.acting);
    let all: Vec<usize> = members.map(|status| status.spare).collect();
    assert!(all.windows(2).all(|pair| pair[0] == pair[1]), "{all:?}");
    all.first().copied().unwrap_or(0)
}

#[test]
fn updates_continue_after_as_many_losses_as_reported() {
    for seed in 0..6 {
        let mut world = World::new(seed, 5, 2);
        world.run(3_000);
        assert_eq!(spare(&world), 2, "seed {seed}");
        for at in [world.head(), world.tail()] {
            world.lose(at, true);
        }
        world.run(3_000);
        assert_eq!((spare(&world), world.members()), (0, 3), "seed {seed}");
        world.assert_updates_complete();
        world.check();
    }
}
