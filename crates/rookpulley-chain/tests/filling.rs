//! How one that lacks much gets it while the chain goes on, and how copies that differ are found.

mod world;

use world::disk::DiskFault;
use world::{Fault, World};

/// Some 480 KB: four pieces.
const PADDING_WORDS: usize = 60_000;

#[test]
fn an_empty_machine_is_filled_while_updates_go_on() {
    for seed in 0..2 {
        let mut world = World::with_padding(seed, 3, PADDING_WORDS);
        // More updates than are kept at hand.
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
            "the state went in {} pieces",
            world.chunks_sent - before
        );
        let pause = world.longest_pause(since);
        assert!(pause < 150, "updates paused for {pause} ms");
        world.assert_updates_complete();
    }
}

/// The filling falls behind what is at hand, is cut off, and loses whom it asks: it begins again and comes to an end.
#[test]
fn a_filling_that_is_cut_off_begins_again() {
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
fn one_that_was_away_for_a_while_gets_what_it_lacks_and_not_the_whole_state() {
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
fn one_that_has_been_away_for_very_long_is_filled_before_it_is_taken_in() {
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
fn a_founder_that_loses_power_at_any_moment_founds_once() {
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
fn a_copy_that_differs_from_all_others_is_begun_anew() {
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

/// Which of two copies is the right one nobody can say, and one that can't be spared is not given up.
#[test]
fn copies_that_differ_where_none_can_be_spared_are_told_of() {
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
fn power_lost_at_every_write_of_a_filling_leaves_a_disk_that_opens() {
    for nth in 1..=24 {
        let mut world = World::new(nth, 2 + (nth / 4 % 2) as usize, 1);
        world.call_interval_ms = 1;
        // Some are filled by pieces: more updates than are kept at hand.
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

/// The tail leaves the chain for a slow disk and is filled with what the next view agrees on. The head of the view
/// before was cut off meanwhile, and holds something else in the places of that.
#[test]
fn a_head_that_was_cut_off_takes_nothing_for_agreed_by_a_tail_that_has_moved_on() {
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
#[ignore = "prints how long a filling takes: cargo test --release -p rookpulley-chain --test filling -- --ignored --nocapture"]
fn how_long_a_filling_takes_and_updates_pause() {
    for (words, max_delay_ms) in [12_500, 125_000, 1_250_000]
        .into_iter()
        .flat_map(|w| [(w, 6), (w, 25)])
    {
        let (mut filled, mut joined, mut pauses) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..20 {
            let mut world = World::with_padding(seed, 3, words);
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
            filled.push(world.now - since);
            while world.members() < 3 {
                world.run(1);
            }
            joined.push(world.now - since);
            world.run(1_000);
            pauses.push(world.longest_pause(since));
            world.assert_updates_complete();
        }
        let worst = |all: &mut Vec<u64>| {
            all.sort_unstable();
            (all[all.len() / 2], all[all.len() - 1])
        };
        let (filled, joined, pauses) = (worst(&mut filled), worst(&mut joined), worst(&mut pauses));
        println!(
            "{} KB, messages of 1 to {} ms: median and worst: filled {filled:?} ms, taken in {joined:?}, pause {pauses:?}",
            words * 8 / 1_000,
            max_delay_ms + 1
        );
    }
}
