//! What an operator is shown of the losses that a chain bears at the moment.

mod world;

use world::World;

/// What the first that runs shows; all that are in the chain show the same.
fn spare(world: &World) -> usize {
    let shown = world
        .running()
        .into_iter()
        .filter_map(|at| world.status(at))
        .filter(|shown| shown.acting);
    let all: Vec<usize> = shown.map(|shown| shown.spare).collect();
    assert!(all.windows(2).all(|pair| pair[0] == pair[1]), "{all:?}");
    all.first().copied().unwrap_or(0)
}

#[test]
fn as_many_as_are_shown_may_be_lost_and_updates_go_on() {
    for seed in 0..6 {
        let mut world = World::new(seed, 5, 2);
        world.run(3_000);
        assert_eq!(spare(&world), 2, "seed {seed}");
        // As many are lost at once.
        for at in [world.head(), world.tail()] {
            world.lose(at, true);
        }
        world.run(3_000);
        assert_eq!((spare(&world), world.members()), (0, 3), "seed {seed}");
        world.assert_updates_complete();
        world.check();
    }
}
