//! Specific fault sequences on simulated chains. Every run checks that call histories are linearizable, that no
//! acknowledged update is lost, that no update is applied late, twice or after its rejection, and that the replicated
//! time never runs fast.

mod world;

use rand::RngExt;
use world::disk::DiskFault;
use world::{Fault, World};

/// The number of seeds for each case, from `CHAIN_CASES` or 3.
fn seeds() -> u64 {
    std::env::var("CHAIN_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(3)
}

fn healthy_chain(seed: u64, controllers: usize) -> World {
    let mut world = World::new(seed, controllers, 1);
    world.run(2_000 + 7 * seed);
    world
}

fn recover(world: &mut World) {
    world.heal();
    world.run(4_000);
    world.assert_updates_complete();
}

/// Runs until an update is answered, and up to `within_ms` longer.
fn run_until_just_after_an_answer(world: &mut World, within_ms: u64) {
    let before = world.took.len();
    while world.took.len() == before {
        world.run(1);
    }
    let more = world.rng.random_range(0..=within_ms);
    world.run(more);
}

#[test]
fn power_loss_of_the_tail_within_4_ms_of_an_answer() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3);
        run_until_just_after_an_answer(&mut world, 4);
        world.inject(Fault::Kill {
            at: world.tail(),
            power: true,
        });
        world.run(1_800);
        world.assert_updates_complete();
        recover(&mut world);
    }
}

#[test]
fn power_loss_of_head_and_tail_within_4_ms_of_an_answer() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3 + (seed % 2) as usize);
        run_until_just_after_an_answer(&mut world, 4);
        let (tail, head) = (world.tail(), world.head());
        world.inject(Fault::Kill {
            at: tail,
            power: true,
        });
        world.inject(Fault::Kill {
            at: head,
            power: true,
        });
        world.run(1_000);
        recover(&mut world);
    }
}

#[test]
fn disk_wiped_within_4_ms_of_an_answer() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3);
        run_until_just_after_an_answer(&mut world, 4);
        let at = if seed % 2 == 0 {
            world.tail()
        } else {
            world.head()
        };
        world.inject(Fault::Wipe { at });
        world.run(1_800);
        world.assert_updates_complete();
        recover(&mut world);
    }
}

#[test]
fn power_loss_of_all_members_right_after_an_answer() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3 + (seed % 3) as usize);
        run_until_just_after_an_answer(&mut world, 4);
        world.inject(Fault::KillAll { power: true });
        world.run(600);
        let since = world.now;
        world.heal();
        world.run(1_000);
        let pause = world.longest_pause(since);
        assert!(
            pause < 300,
            "updates paused for {pause} ms after all restarted"
        );
        recover(&mut world);
    }
}

#[test]
fn one_disk_wiped_and_power_loss_of_all_others() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3 + (seed % 2) as usize);
        run_until_just_after_an_answer(&mut world, 4);
        let at = if seed % 2 == 0 {
            world.head()
        } else {
            world.tail()
        };
        world.inject(Fault::Wipe { at });
        world.inject(Fault::KillAll { power: true });
        world.run(600);
        recover(&mut world);
    }
}

#[test]
fn one_disk_of_a_view_of_two_wiped() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3);
        // The successor of a view of two needs both votes until one disk is known to be lost.
        world.inject(Fault::Replace {
            at: world.tail(),
            orderly: false,
        });
        let newcomer = world.nodes().into_iter().max().unwrap();
        world.inject(Fault::Freeze { at: newcomer });
        world.run(6_000);
        assert_eq!(world.members(), 2);
        world.inject(Fault::Wipe {
            at: if seed % 2 == 0 {
                world.head()
            } else {
                world.tail()
            },
        });
        world.run(500);
        recover(&mut world);
        assert_eq!(world.members(), 3);
    }
}

#[test]
fn a_controller_with_a_slow_disk_keeps_its_vote_and_rejoins_when_another_is_lost() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3);
        let tail = world.tail();
        world.inject(Fault::Disk {
            at: tail,
            fault: DiskFault::Slow,
        });
        world.run(1_000);
        assert_eq!(world.members(), 2);
        // One of the two members stops; the other one and the slow one remain.
        let at = if seed % 2 == 0 {
            world.head()
        } else {
            world.tail()
        };
        world.inject(Fault::Kill { at, power: true });
        world.run(2_500);
        world.assert_updates_complete();
        recover(&mut world);
    }
}

#[test]
fn a_controller_removed_after_a_short_freeze_keeps_its_vote_when_another_is_lost() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3);
        let tail = world.tail();
        world.inject(Fault::Freeze { at: tail });
        world.run(1_200);
        assert_eq!(world.members(), 2);
        // It wakes at the moment when one of the two members loses power.
        let at = if seed % 2 == 0 {
            world.head()
        } else {
            world.tail()
        };
        world.heal();
        world.inject(Fault::Kill { at, power: true });
        world.run(2_000);
        world.assert_updates_complete();
        recover(&mut world);
    }
}

#[test]
fn a_partition_with_updates_on_both_sides_heals() {
    for seed in 0..2 * seeds() {
        let mut world = healthy_chain(seed, 3 + (seed % 3) as usize);
        let nodes = world.nodes();
        let (from, to) = nodes.split_at(1 + (seed as usize / 2) % (nodes.len() - 1));
        let (from, to) = if seed % 4 < 2 { (from, to) } else { (to, from) };
        let both = seed % 2 == 0;
        world.inject(Fault::Cut {
            from: from.to_vec(),
            to: to.to_vec(),
            both,
            held: seed % 3 > 0,
        });
        world.run(2_000);
        if both || nodes.len() > 3 || from.len() == 1 {
            world.assert_updates_complete();
        }
        recover(&mut world);
    }
}

#[test]
fn an_isolated_or_frozen_tail_serves_no_stale_reads() {
    for seed in 0..2 * seeds() {
        let mut world = healthy_chain(seed, 3 + (seed % 2) as usize);
        let tail = world.tail();
        world.inject(match seed % 4 {
            0 => Fault::Freeze { at: tail },
            1 => Fault::Cut {
                from: vec![tail],
                to: world.others(tail),
                both: true,
                held: true,
            },
            2 => Fault::Cut {
                from: vec![tail],
                to: world.others(tail),
                both: false,
                held: true,
            },
            _ => Fault::Cut {
                from: world.others(tail),
                to: vec![tail],
                both: false,
                held: true,
            },
        });
        for _ in 0..60 {
            world.call_at(tail);
            world.run(45);
        }
        world.assert_updates_complete();
        recover(&mut world);
    }
}

#[test]
fn a_head_killed_between_sync_and_forwarding() {
    for seed in 0..2 * seeds() {
        let mut world = healthy_chain(seed, 3);
        let head = world.head();
        // Updates that it syncs from here on are forwarded to nobody.
        world.inject(Fault::Cut {
            from: vec![head],
            to: world.others(head),
            both: false,
            held: false,
        });
        world.run(3 + 2 * seed);
        world.inject(Fault::Kill {
            at: head,
            power: seed % 2 == 0,
        });
        world.run(if seed % 3 == 0 { 100 } else { 1_800 });
        recover(&mut world);
    }
}

#[test]
fn a_view_change_during_another() {
    for seed in 0..3 * seeds() {
        let mut world = healthy_chain(seed, 4);
        let (head, tail) = (world.head(), world.tail());
        world.inject(Fault::Kill {
            at: tail,
            power: true,
        });
        // At any stage of the view change: status queries, votes or installs.
        world.run(540 + 11 * seed);
        world.inject(if seed % 2 == 0 {
            Fault::Kill {
                at: head,
                power: true,
            }
        } else {
            Fault::Freeze { at: head }
        });
        world.run(100 * seed);
        recover(&mut world);
    }
}

#[test]
fn planned_and_unplanned_replacements_under_heavy_updates() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3);
        world.call_interval_ms = 3;
        for orderly in [true, false] {
            let at = if seed % 2 == 0 {
                world.head()
            } else {
                world.tail()
            };
            world.inject(Fault::Replace { at, orderly });
            world.run(2_500);
            world.assert_updates_complete();
        }
        assert_eq!(world.members(), 3);
        world.inject(Fault::Wipe { at: world.head() });
        world.run(400);
        recover(&mut world);
    }
}

#[test]
fn a_controller_with_a_faulty_disk_leaves_the_chain_and_rejoins() {
    for seed in 0..2 * seeds() {
        let all = [
            DiskFault::Slow,
            DiskFault::Hangs,
            DiskFault::RejectsWrites,
            DiskFault::Full,
        ];
        let mut world = healthy_chain(seed, 3 + (seed % 2) as usize);
        let at = if seed % 8 < 4 {
            world.head()
        } else {
            world.tail()
        };
        let (fault, since) = (all[(seed % 4) as usize], world.now);
        world.inject(Fault::Disk { at, fault });
        world.run(3_000);
        let pause = world.longest_pause(since);
        assert!(
            pause < if seed % 4 < 2 { 200 } else { 800 },
            "{fault:?}: updates paused for {pause} ms"
        );
        world.assert_updates_complete();
        recover(&mut world);
        assert_eq!(world.members(), world.nodes().len());
    }
}

/// A controller removed for its slow disk still votes, so the chain survives another loss.
#[test]
fn the_chain_recovers_from_a_slow_disk_followed_by_a_lost_machine() {
    for seed in 0..2 * seeds() {
        let mut world = healthy_chain(seed, 3);
        let slow = if seed % 4 < 2 {
            world.head()
        } else {
            world.tail()
        };
        world.inject(Fault::Disk {
            at: slow,
            fault: DiskFault::Slow,
        });
        world.run(1_500);
        assert_eq!(world.members(), 2);
        let lost = if seed % 2 == 0 {
            world.head()
        } else {
            world.tail()
        };
        world.inject(Fault::Kill {
            at: lost,
            power: true,
        });
        world.run(2_500);
        assert_eq!(world.members(), 2, "the chain is not reconfigured");
        recover(&mut world);
        assert_eq!(world.members(), 3);
    }
}

#[test]
fn too_few_members_acknowledge_nothing() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3);
        let (head, tail) = (world.head(), world.tail());
        world.inject(Fault::Kill {
            at: tail,
            power: true,
        });
        world.run(1_000);
        world.inject(Fault::Freeze { at: head });
        world.run(100);
        let before = world.took.len();
        world.run(3_000);
        assert_eq!(world.took.len(), before);
        recover(&mut world);
    }
}

#[test]
fn a_controller_that_sends_but_does_not_receive_causes_no_view_changes() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 4);
        let at = (seed % 4) as usize;
        world.inject(Fault::Cut {
            from: world.others(at),
            to: vec![at],
            both: false,
            held: false,
        });
        world.run(1_500);
        let before = world.view_number();
        world.run(4_000);
        assert!(
            world.view_number() <= before + 1,
            "views went from {before} to {}",
            world.view_number()
        );
        world.assert_updates_complete();
        recover(&mut world);
    }
}

#[test]
fn connection_resets_lose_only_messages_in_flight() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3 + (seed % 2) as usize);
        let before = world.view_number();
        for _ in 0..8 {
            let nodes = world.nodes();
            let a = world.rng.random_range(0..nodes.len());
            let b = (a + world.rng.random_range(1..nodes.len())) % nodes.len();
            world.inject(Fault::Reset {
                a: nodes[a],
                b: nodes[b],
            });
            world.run(900);
        }
        world.assert_updates_complete();
        assert!(
            world.view_number() <= before + 2,
            "views went from {before} to {}",
            world.view_number()
        );
    }
}

#[test]
fn the_replicated_time_advances_across_a_failover_after_an_idle_period() {
    for seed in 0..seeds() {
        let mut world = healthy_chain(seed, 3);
        let before = world.global_order.last().copied().unwrap();
        let since = world.now;
        world.call_interval_ms = 1_000_000;
        world.run(12_000);
        world.inject(Fault::Kill {
            at: world.head(),
            power: seed % 2 == 0,
        });
        world.run(1_500);
        world.call_interval_ms = 9;
        world.assert_updates_complete();
        let advanced_ms = world.global_order.last().unwrap().stamp - before.stamp;
        let elapsed_ms = world.now - since;
        // `World` checks with each update that the replicated time does not run fast.
        assert!(
            advanced_ms + 2_000 > elapsed_ms,
            "the replicated time advanced {advanced_ms} ms in {elapsed_ms} ms"
        );
    }
}

#[test]
fn power_loss_at_any_write_leaves_a_consistent_store() {
    for nth in 1..=40 {
        let mut world = World::new(nth, 3, 1);
        world.run(600);
        world.power_at_write = Some(((nth % 3) as usize, nth / 2 + 1, nth % 4 == 0));
        world.run(if nth % 2 == 0 { 400 } else { 60 });
        // A second fault interrupts view changes, installs and votes.
        if nth > 20 {
            world.inject(Fault::Freeze {
                at: ((nth + 1) % 3) as usize,
            });
            world.run(1_000);
        }
        recover(&mut world);
    }
}
