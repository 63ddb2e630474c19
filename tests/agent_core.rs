//! Admission, refusals, draining and suspects in the decision core of an agent, on a simulated
//! clock.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::{Duration, SystemTime};

use bitternwall::agent::events::{DrainCause, Effect, Event, Failure, JobId, ProbeOutcome};
use bitternwall::agent::{config_view, shard, world};
use bitternwall::wire::server::LinkId;
use bitternwall::wire::{self, Executed, RefusalReason};

const FRESHNESS: Duration = Duration::from_secs(5);

/// Core is the decision core of an agent with a simulated clock.
struct Core {
    world: world::AgentWorld,
    now: Duration,
    next: u64,
}

/// Attempt is a request that the test sends.
#[derive(Clone, Copy)]
struct Attempt {
    customer: &'static str,
    deadline_ms: u64,
    revision: u64,
    fingerprint: u64,
    suspect: bool,
}

const PLAIN: Attempt = Attempt {
    customer: "plant-1",
    deadline_ms: 10_000,
    revision: 1,
    fingerprint: 0,
    suspect: false,
};

impl Core {
    fn new(slots: usize, max_queued: usize) -> Self {
        let world = world::AgentWorld::new(world::Options {
            slots,
            max_queued,
            max_wait: Duration::from_secs(8),
            freshness: FRESHNESS,
            retry_after: Duration::from_millis(100),
            suspect_timeout: Duration::from_secs(1),
            fingerprint_ttl: Duration::from_secs(60),
            kept_bytes: 0,
            drop_duplicates: true,
            order: world::QueueOrder::Fair,
            claims: world::ClaimOptions {
                check: world::ClaimCheck::Saved,
                service: "summary-llm".to_owned(),
                incarnation: 1,
                commit_interval: Duration::from_millis(50),
                limits: shard::Limits { retention_ms: 60_000, bucket_ms: 1_000 },
                max_ahead: 1,
            },
        });
        let mut core = Self { world, now: Duration::from_secs(1), next: 0 };
        core.configure(1);
        core
    }

    fn configure(&mut self, revision: u64) {
        let view = config_view::ConfigView {
            revision,
            claim_shards: 1,
            confirmed_at: self.now,
            ..config_view::ConfigView::default()
        };
        self.tick(Event::Config(view));
    }

    fn tick(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let wall = SystemTime::UNIX_EPOCH + self.now;
        self.world.tick(self.now, wall, vec![event], &mut effects);
        effects
    }

    fn wait(&mut self, ms: u64) -> Vec<Effect> {
        self.now += Duration::from_millis(ms);
        self.tick(Event::RefusedFingerprints(Vec::new()))
    }

    fn send(&mut self, attempt: Attempt) -> Vec<Effect> {
        let counter = self.next;
        self.next += 1;
        self.send_as(attempt, counter, LinkId(1))
    }

    fn send_as(&mut self, attempt: Attempt, counter: u64, link: LinkId) -> Vec<Effect> {
        let request = Box::new(wire::StartAttempt {
            id: Some(id(counter)),
            customer: attempt.customer.to_owned(),
            deadline_ms: attempt.deadline_ms,
            config_revision: attempt.revision,
            estimated_tokens: 10,
            weight: 1,
            fingerprint: attempt.fingerprint,
            suspect: attempt.suspect,
            ..Default::default()
        });
        self.tick(Event::Start { link, request })
    }

    fn complete(&mut self, job: u64) -> Vec<Effect> {
        self.tick(Event::Completed { job: JobId(job), bytes: 1, tokens: None })
    }

    fn crash(&mut self, job: u64) -> Vec<Effect> {
        self.tick(Event::Failed { job: JobId(job), failure: Failure::Broken });
        let effects = self.tick(Event::Probed(ProbeOutcome::Refused));
        self.tick(Event::Probed(ProbeOutcome::Healthy));
        effects
    }
}

fn id(counter: u64) -> wire::AttemptId {
    wire::AttemptId { incarnation: 7, counter }
}

fn refusals(effects: &[Effect]) -> Vec<(u64, RefusalReason, Executed)> {
    let refusal = |effect: &Effect| match effect {
        Effect::Refuse { to, reason, executed, .. } => Some((to.id.counter, *reason, *executed)),
        _ => None,
    };
    effects.iter().filter_map(refusal).collect()
}

fn dispatched(effects: &[Effect]) -> Vec<u64> {
    let job = |effect: &Effect| match effect {
        Effect::Dispatch { request, .. } => Some(request.id.unwrap().counter),
        _ => None,
    };
    effects.iter().filter_map(job).collect()
}

#[test]
fn a_second_copy_starts_nothing() {
    let mut core = Core::new(2, 8);
    assert_eq!(dispatched(&core.send_as(PLAIN, 0, LinkId(1))), [0]);
    assert!(core.send_as(PLAIN, 0, LinkId(1)).is_empty());
}

#[test]
fn an_attempt_that_is_cancelled_first_never_starts() {
    let mut core = Core::new(1, 8);
    core.tick(Event::Cancel(id(5)));
    let refused = core.send_as(PLAIN, 5, LinkId(1));
    assert_eq!(refusals(&refused), [(5, RefusalReason::Cancelled, Executed::No)]);
    core.send(PLAIN);
    core.send(PLAIN);
    core.tick(Event::Cancel(id(1)));
    assert!(dispatched(&core.complete(0)).is_empty(), "a cancelled attempt is not dispatched");
}

#[test]
fn a_wait_beyond_the_deadline_is_refused_on_arrival() {
    let mut core = Core::new(1, 8);
    core.send(PLAIN);
    core.wait(2_000);
    core.complete(0);
    core.send(PLAIN);
    core.send(PLAIN);
    let urgent = Attempt { deadline_ms: 1_500, ..PLAIN };
    let refused = core.send(urgent);
    assert_eq!(refusals(&refused), [(3, RefusalReason::Deadline, Executed::No)]);
}

#[test]
fn a_passed_deadline_is_reported_at_once() {
    let mut core = Core::new(1, 8);
    core.send(Attempt { deadline_ms: 700, ..PLAIN });
    core.send(Attempt { deadline_ms: 300, ..PLAIN });
    assert_eq!(refusals(&core.wait(299)), []);
    assert_eq!(refusals(&core.wait(1)), [(1, RefusalReason::Deadline, Executed::No)]);
    assert_eq!(refusals(&core.wait(400)), [(0, RefusalReason::Deadline, Executed::Unknown)]);
}

#[test]
fn a_full_queue_makes_room_for_a_customer_with_a_shorter_one() {
    let mut core = Core::new(1, 2);
    (0..3).for_each(|_| drop(core.send(PLAIN)));
    let other = core.send(Attempt { customer: "plant-2", ..PLAIN });
    assert_eq!(refusals(&other), [(2, RefusalReason::Overloaded, Executed::No)]);
    let same_customer = core.send(PLAIN);
    assert_eq!(refusals(&same_customer), [(4, RefusalReason::Overloaded, Executed::No)]);
}

#[test]
fn an_old_configuration_is_refused() {
    let mut core = Core::new(1, 8);
    core.configure(2);
    assert_eq!(
        dispatched(&core.send(PLAIN)),
        [0],
        "the agent has held the newer revision for less than the freshness period"
    );
    core.complete(0);
    core.now += FRESHNESS + Duration::from_millis(1);
    let stale = [(1, RefusalReason::StaleConfig, Executed::No)];
    let current = Attempt { revision: 2, ..PLAIN };
    assert_eq!(
        refusals(&core.send(current)),
        stale,
        "the agent's configuration was not confirmed within the freshness period"
    );
    core.configure(2);
    let refused = core.send(PLAIN);
    assert_eq!(refusals(&refused), [(2, RefusalReason::StaleConfig, Executed::No)]);
    assert_eq!(dispatched(&core.send(current)), [3]);
}

#[test]
fn each_reason_to_drain_refuses_new_work_and_finishes_the_rest() {
    for cause in [DrainCause::Signal, DrainCause::Resource, DrainCause::HostList] {
        let mut core = Core::new(1, 8);
        core.send(PLAIN);
        core.send(PLAIN);
        let effects = core.tick(Event::Drain { cause, on: true });
        assert!(effects.iter().any(|effect| matches!(effect, Effect::SendHeartbeats)));
        let refused = core.send(PLAIN);
        assert_eq!(refusals(&refused), [(2, RefusalReason::Draining, Executed::No)]);
        assert_eq!(dispatched(&core.complete(0)), [1], "queued work is finished");
        let done = core.complete(1);
        let drained = done.iter().any(|effect| matches!(effect, Effect::Drained));
        assert_eq!(drained, cause == DrainCause::Signal);
    }
}

#[test]
fn suspects_run_alone_and_a_second_crash_refuses_the_fingerprint() {
    let mut core = Core::new(4, 8);
    let bad = Attempt { fingerprint: 13, ..PLAIN };
    core.send(bad);
    let crashed = [(0, RefusalReason::TargetCrashed, Executed::Unknown)];
    assert_eq!(refusals(&core.crash(0)), crashed);
    core.send(PLAIN);
    let suspect = Attempt { suspect: true, ..bad };
    assert!(dispatched(&core.send(suspect)).is_empty(), "another request runs");
    assert!(dispatched(&core.wait(1_000)).is_empty());
    assert!(dispatched(&core.send(PLAIN)).is_empty(), "the slots are being emptied");
    assert_eq!(dispatched(&core.complete(1)), [2], "the suspect runs alone");
    core.crash(2);
    let refused = core.send(suspect);
    assert_eq!(refusals(&refused)[0], (4, RefusalReason::Fingerprint, Executed::No));
}
