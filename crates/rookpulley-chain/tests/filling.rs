//! Catch-up of lagging controllers during updates, and detection of diverged replicas.

mod world;

use world::disk::DiskFault;
use world::{Fault, World};

/// About 480 KB: four snapshot chunks.
const PADDING_WORDS: usize = 60_000;

#[test]
fn an_empty_controller_catches_up_during_updates() {
    for seed in 0..2 {
        let mut world = World::with_padding(seed, 3, PADDING_WORDS);
        // More updates than the log retains.
        world.call_interval_ms = 1;
        world.run(8_000);
        (world.call_interval_ms, world.max_delay_ms) = (3, 26);
        world.inject(Fault::Wipe {
            at: (seed % 3) as usize,
        });
        world.run(1_500);
        let (since, before) = (world.now, world.chunks_sent);
        world.heal();
        world.run(3_000);
        assert_eq!(world.members(), 3);
        assert!(
            world.chunks_sent >= before + 4,
            "the snapshot was sent in {} chunks",
            world.chunks_sent - before
        );
        let pause = world.longest_pause(since);
        assert!(pause < 150, "updates paused for {pause} ms");
        world.assert_updates_complete();
    }
}

/// The catch-up falls behind the retained log and loses its source; it must restart and complete.
#[test]
fn an_interrupted_catch_up_restarts() {
    for seed in 0..2 {
        let mut world = World::with_padding(seed, 4, PADDING_WORDS);
        world.call_interval_ms = 1;
        world.run(8_000);
        (world.call_interval_ms, world.max_delay_ms) = (2, 60);
        let tail = world.tail();
        let wiped = world.others(tail)[(seed % 3) as usize];
        world.inject(Fault::Wipe { at: wiped });
        world.run(700);
        world.heal();
        world.run(60 + 40 * seed);
        world.inject(if seed % 2 == 0 {
            Fault::Kill {
                at: tail,
                power: true,
            }
        } else {
            Fault::Freeze { at: tail }
        });
        world.run(3_000);
        world.heal();
        world.run(3_000);
        assert_eq!(world.members(), 4);
        world.assert_updates_complete();
    }
}

#[test]
fn a_briefly_absent_controller_receives_updates_instead_of_a_snapshot() {
    for seed in 0..4 {
        let mut world = World::with_padding(seed, 3, PADDING_WORDS);
        world.run(3_000);
        let before = world.chunks_sent;
        for at in [world.head(), world.tail()] {
            world.inject(Fault::Kill {
                at,
                power: seed % 2 == 0,
            });
            world.run(4_000);
            world.heal();
            world.run(2_000);
            assert_eq!(world.members(), 3);
        }
        world.inject(Fault::KillAll { power: true });
        world.run(300);
        world.heal();
        world.run(2_000);
        assert_eq!(world.chunks_sent, before);
        world.assert_updates_complete();
    }
}

#[test]
fn a_long_absent_controller_catches_up_before_it_joins() {
    for seed in 0..2 {
        let mut world = World::with_padding(seed, 4, 20_000);
        world.call_interval_ms = 2;
        world.run(2_000);
        world.inject(Fault::Kill {
            at: world.tail(),
            power: false,
        });
        world.run(16_000);
        let (since, before) = (world.now, world.chunks_sent);
        world.heal();
        world.run(2_000);
        assert_eq!(world.members(), 4);
        assert!(world.chunks_sent > before);
        assert!(
            world.longest_pause(since) < 100,
            "updates paused for {} ms",
            world.longest_pause(since)
        );
        world.assert_updates_complete();
    }
}

#[test]
fn a_founder_that_loses_power_at_any_time_founds_one_chain() {
    for moment in 1..40 {
        let mut world = World::new(moment, 3, 1);
        world.run(moment);
        world.inject(Fault::Kill { at: 0, power: true });
        world.run(200);
        world.heal();
        world.run(2_500);
        assert_eq!(world.members(), 3, "after {moment} ms");
        world.assert_updates_complete();
    }
}

#[test]
fn a_diverged_replica_is_discarded_and_rebuilt() {
    for seed in 0..3 {
        let mut world = World::with_padding(seed, 3, 10);
        world.call_interval_ms = 2;
        world.run(2_000);
        let at = seed as usize;
        let before = world.identity(at);
        world.corrupt_state(at);
        world.run(6_000);
        assert_eq!(world.discarded_stores, 1);
        assert_ne!(world.identity(at), before);
        assert_eq!(world.members(), 3);
        world.assert_updates_complete();
        let digests: Vec<_> = world
            .nodes()
            .into_iter()
            .filter_map(|at| world.status(at))
            .map(|s| s.digest)
            .collect();
        assert!(
            digests[0].seq > 0 && digests.iter().all(|d| *d == digests[0]),
            "{digests:?}"
        );
    }
}

/// With two replicas neither is known to be right, and a replica that the chain needs is not discarded.
#[test]
fn diverged_replicas_are_reported_when_none_can_be_discarded() {
    let mut world = World::with_padding(1, 2, 10);
    world.call_interval_ms = 2;
    world.run(2_000);
    world.corrupt_state(1);
    world.run(6_000);
    assert_eq!(world.discarded_stores, 0);
    assert!(
        world
            .log
            .iter()
            .any(|line| line.contains("state digests differ"))
    );
    world.assert_updates_complete();
}

#[test]
fn power_loss_at_any_catch_up_write_leaves_a_consistent_store() {
    for nth in 1..=24 {
        let mut world = World::new(nth, 2 + (nth / 4 % 2) as usize, 1);
        world.call_interval_ms = 1;
        // The longer runs exceed the retained log, so catch-up sends a snapshot.
        world.run(if nth % 4 == 3 { 6_500 } else { 1_500 });
        (world.call_interval_ms, world.max_delay_ms) = (4, 15);
        let at = (nth / 8 % 2) as usize;
        world.inject(Fault::Wipe { at });
        world.run(700);
        world.power_at_write = Some((at, 1 + nth / 3, nth % 3 == 0));
        world.heal();
        world.run(2_000);
        world.heal();
        world.run(3_000);
        world.assert_updates_complete();
    }
}

/// The tail leaves the chain because of its slow disk and catches up with the next view, while the isolated head of the
/// previous view holds other updates at the same sequence numbers.
#[test]
fn an_isolated_head_commits_nothing_on_behalf_of_a_tail_in_a_later_view() {
    for seed in 0..16 {
        let mut world = World::new(seed, 5, 1);
        world.max_delay_ms = 60;
        world.run(2_000);
        let (head, tail) = (world.head(), world.tail());
        world.inject(Fault::Disk {
            at: tail,
            fault: DiskFault::Slow,
        });
        world.run(60);
        world.inject(Fault::Cut {
            from: world.others(head),
            to: vec![head],
            both: true,
            held: false,
        });
        world.run(500 + 40 * seed);
        world.heal();
        world.run(1_500);
        world.assert_updates_complete();
    }
}

#[test]
#[ignore = "prints catch-up times: cargo test --release -p rookpulley-chain --test filling -- --ignored --nocapture"]
fn catch_up_times_and_update_pauses() {
    for (padding_words, max_delay_ms) in [12_500, 125_000, 1_250_000]
        .into_iter()
        .flat_map(|w| [(w, 6), (w, 25)])
    {
        let (mut caught_up, mut joined, mut pauses) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..20 {
            let mut world = World::with_padding(seed, 3, padding_words);
            world.call_interval_ms = 1;
            world.run(6_500);
            (world.call_interval_ms, world.max_delay_ms) = (4, max_delay_ms);
            world.inject(Fault::Wipe {
                at: (seed % 3) as usize,
            });
            world.run(1_500);
            let since = world.now;
            world.heal();
            let first = world.global_order.len();
            let at = (seed % 3) as usize;
            while world.applied(at).len() < first {
                world.run(1);
            }
            caught_up.push(world.now - since);
            while world.members() < 3 {
                world.run(1);
            }
            joined.push(world.now - since);
            world.run(1_000);
            pauses.push(world.longest_pause(since));
            world.assert_updates_complete();
        }
        let median_and_worst = |all: &mut Vec<u64>| {
            all.sort_unstable();
            (all[all.len() / 2], all[all.len() - 1])
        };
        let (caught_up, joined, pauses) = (
            median_and_worst(&mut caught_up),
            median_and_worst(&mut joined),
            median_and_worst(&mut pauses),
        );
        println!(
            "{} KB, messages of 1 to {} ms: median and worst: caught up {caught_up:?} ms, joined {joined:?}, pause {pauses:?}",
            padding_words * 8 / 1_000,
            max_delay_ms + 1
        );
    }
}
