//! Replica groups under losses, late orders, changes of leader and two leaders at once.

mod world;

use jackdaw_core::units::Millis;
use rstest::rstest;
use world::{LARGE, SMALL, Trouble, World};

/// Courses of lateness that each storm takes.
const STORM_SEEDS: u64 = 12;
/// Time until the first groups have to serve; loads before the first request take 1.6 s.
const FIRST_GROUPS: Millis = Millis(5_000);
/// Time until a lost group has to be made up for: the registration lapses after 3 s, and warm
/// servers join within 2 s.
const MADE_UP: Millis = Millis(7_000);
/// Time in which the users expect the service back after a failure.
const RECOVERY: Millis = Millis(12_000);

fn settled(domains: &[usize], trouble: Trouble) -> World {
    settle(World::new(domains, trouble))
}

fn settle(mut world: World) -> World {
    world.run(Millis(8_000));
    world.has_traffic = true;
    world
}

#[test]
fn first_groups_divide_the_servers_by_the_models_shares() {
    let mut world = World::new(&[8, 8], Trouble::default());
    let took = world.until(FIRST_GROUPS, |world| {
        world.serving(LARGE) + world.serving(SMALL) >= 5
    });
    assert!(took.is_some(), "not all servers serve in time");
    assert_eq!((world.serving(LARGE), world.serving(SMALL)), (3, 2));
    assert_eq!(world.violations, []);
}

#[derive(Debug)]
struct Loss {
    what: &'static str,
    domains: &'static [usize],
    model: &'static str,
    rank: usize,
}

#[rstest]
#[case(Loss { what: "a member of the larger model, with groups of the smaller beside it", domains: &[8], model: LARGE, rank: 2 })]
#[case(Loss { what: "the first member of the larger model", domains: &[8], model: LARGE, rank: 0 })]
#[case(Loss { what: "a member of the larger model in two domains", domains: &[8, 8], model: LARGE, rank: 1 })]
fn the_larger_model_is_made_up_for_after_a_loss(#[case] loss: Loss) {
    let mut world = settled(loss.domains, Trouble::default());
    let before = world.serving(LARGE);
    let member = world.member(loss.model, loss.rank);
    world.kill(&member);
    world.run(Millis(3_500));
    let took = world.until(MADE_UP, |world| {
        world.serving(LARGE) >= before.min(2) && world.serving(SMALL) >= 1
    });
    assert!(
        took.is_some(),
        "{}: {} of {before}",
        loss.what,
        world.serving(LARGE)
    );
    assert_eq!(world.violations, [], "{}", loss.what);
}

#[test]
fn a_group_that_lost_its_first_member_is_dissolved_without_delay() {
    let mut world = settled(&[8], Trouble::default());
    let head = world.member(SMALL, 0);
    let other = world.member(SMALL, 1);
    world.kill(&head);
    // The registration lapses after 3 s; leaving takes effect at once and shows after the lag.
    world.run(Millis(4_000));
    let membership = world.fleet.server(&other).map(|one| one.membership.clone());
    assert_eq!(membership, Some(None));
}

#[test]
fn free_servers_without_weights_do_not_hold_warm_ones() {
    let mut world = settled(&[4], Trouble::default());
    assert_eq!(
        world.serving(LARGE) + world.serving(SMALL),
        1,
        "one group of four, or none"
    );
    let member = world.member(LARGE, 1);
    world.kill(&member);
    world.add("fresh-1", "d0");
    // The newcomer loads in the background; the group forms once it is warm, and its members are
    // free until then.
    world.run(Millis(10_000));
    let joining = world
        .fleet
        .servers()
        .filter(|server| server.membership.is_some())
        .count();
    assert!(
        joining == 0 || world.serving(SMALL) >= 1,
        "warm servers wait in a group for weights to be loaded"
    );
    let took = world.until(Millis(25_000), |world| world.serving(LARGE) == 1);
    assert!(
        took.is_some() || world.serving(SMALL) >= 1,
        "nothing serves"
    );
    assert_eq!(world.violations, []);
}

#[test]
fn a_domain_that_starts_anew_serves_both_models_again() {
    let mut world = settled(&[8], Trouble::default());
    world.restart_domain("d0");
    let took = world.until(Millis(8_000), |world| world.serving(LARGE) >= 1);
    assert!(took.is_some(), "the larger model has no warm servers");
    assert_eq!(world.violations, []);
}

#[test]
fn a_member_that_leaves_lets_its_group_finish_first() {
    let mut world = settled(&[8], Trouble::default());
    let member = world.member(LARGE, 3);
    let head = world.member(LARGE, 0);
    world.drain(&member);
    world.run(Millis(900));
    let state = world
        .fleet
        .server(&head)
        .and_then(|server| server.membership.as_ref())
        .map(|one| one.state);
    assert_eq!(state, Some(jackdaw_core::backend::State::Closing));
    world.run(MADE_UP);
    let membership = world
        .fleet
        .server(&member)
        .and_then(|one| one.membership.clone());
    assert_eq!(membership, None, "a leaving server stays in a group");
    assert_eq!(world.violations, []);
}

#[derive(Debug)]
struct Storm {
    what: &'static str,
    trouble: Trouble,
    leaders: usize,
}

#[rstest]
#[case(Storm { what: "late orders", trouble: Trouble { late_every: Some(3), unanswered_every: None, ..Trouble::default() }, leaders: 1 })]
#[case(Storm { what: "lost answers", trouble: Trouble { late_every: None, unanswered_every: Some(2), ..Trouble::default() }, leaders: 1 })]
#[case(Storm { what: "two leaders", trouble: Trouble::default(), leaders: 2 })]
#[case(Storm { what: "two leaders with late orders", trouble: Trouble { late_every: Some(4), unanswered_every: Some(5), ..Trouble::default() }, leaders: 2 })]
fn no_rule_breaks_while_servers_die_and_orders_stray(#[case] storm: Storm) {
    for seed in 0..STORM_SEEDS {
        let trouble = Trouble {
            seed,
            ..storm.trouble
        };
        let mut world = settled(&[8, 8], trouble);
        while world.leaders.len() < storm.leaders {
            world.elect();
        }
        for round in 0..6 {
            let model = if round % 2 == 0 { LARGE } else { SMALL };
            if world.serving(model) > 0 {
                let member = world.member(model, round % 2);
                world.kill(&member);
            }
            let domain = if round % 2 == 0 { "d0" } else { "d1" };
            world.add(&format!("new-{round}"), domain);
            world.run(Millis(4_000));
        }
        world.run(Millis(30_000));
        assert_eq!(world.violations, [], "{}, seed {seed}", storm.what);
        let serving = (world.serving(LARGE), world.serving(SMALL));
        assert!(
            serving.0 >= 1 && serving.1 >= 1,
            "{}, seed {seed}: {serving:?} serve",
            storm.what
        );
    }
}

#[test]
fn a_new_leader_keeps_the_groups_of_the_former_one() {
    let mut world = settled(&[8, 8], Trouble::default());
    let before = world.fleet.clone();
    world.leaders.clear();
    world.elect();
    world.run(Millis(6_000));
    for server in before.servers() {
        let now = world
            .fleet
            .server(&server.id)
            .and_then(|one| one.membership.clone());
        assert_eq!(
            now, server.membership,
            "{} has changed its group",
            server.id
        );
    }
    assert_eq!(world.violations, []);
}

#[test]
fn loads_stay_under_the_weight_stores_rate() {
    let mut world = settled(&[8, 8], Trouble::default());
    let start = world.now;
    for number in 0..24 {
        world.add(&format!("new-{number}"), "d0");
    }
    world.run(Millis(5_000));
    let seconds = world.now.since(start).0 as f64 / 1_000.0;
    // The users allow a tenth above the rate and three more.
    let most = world.engine.loads_per_second * seconds * 1.1 + 3.0;
    assert!(
        world.loads as f64 <= most,
        "{} loads in {seconds} s",
        world.loads
    );
}

#[derive(Debug)]
struct Repair {
    what: &'static str,
    model: &'static str,
}

#[rstest]
#[case(Repair { what: "the larger model loses a member", model: LARGE })]
#[case(Repair { what: "the smaller model loses a member", model: SMALL })]
fn free_servers_stand_in_for_a_member_of_either_model(#[case] repair: Repair) {
    let mut world = settle(World::with_large_groups(&[19]));
    world.run(Millis(10_000));
    assert_eq!(
        world.loads, 0,
        "{}: weights were loaded without need",
        repair.what
    );
    let before = world.serving(repair.model);
    let member = world.member(repair.model, 1);
    world.kill(&member);
    world.run(Millis(3_500));
    let took = world.until(Millis(3_500), |world| world.serving(repair.model) == before);
    assert!(took.is_some(), "{}: no free server stands in", repair.what);
    assert_eq!(world.violations, [], "{}", repair.what);
}

#[test]
fn a_server_that_does_not_become_ready_is_left_out() {
    let mut world = settle(World::with_large_groups(&[19]));
    let before = world.serving(LARGE);
    world.stick_first_spare(LARGE);
    let member = world.member(LARGE, 1);
    world.kill(&member);
    world.run(Millis(3_500));
    let took = world.until(RECOVERY, |world| world.serving(LARGE) == before);
    assert!(took.is_some(), "the group waits for the same server again");
    assert_eq!(world.violations, []);
}

#[test]
fn a_member_that_is_cut_off_from_the_store_alone_stays_in_its_group() {
    let mut world = settled(&[8, 8], Trouble::default());
    let before = world.serving(LARGE);
    let member = world.member(LARGE, 1);
    world.cut(&member);
    for _ in 0..80 {
        world.run(Millis(100));
        assert_eq!(world.serving(LARGE), before, "at {:?}", world.now);
    }
    world.heal(&member);
    world.run(Millis(3_000));
    assert_eq!(world.serving(LARGE), before, "after the cut");
    assert_eq!(world.violations, []);
}

#[test]
fn a_first_member_that_is_cut_off_from_the_store_gets_no_requests() {
    let mut world = settled(&[8, 8], Trouble::default());
    let head = world.member(LARGE, 0);
    world.cut(&head);
    world.run(Millis(3_500));
    let targets = world.fleet.targets(world::SERVICE, Some(&world.engine));
    assert!(targets.iter().all(|target| target.server != head));
    world.heal(&head);
    world.run(Millis(8_000));
    assert_eq!(world.violations, []);
}
