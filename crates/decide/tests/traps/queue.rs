//! Surges, priorities and deadlines in the queue.

use std::time::Duration;

use godwitpost_decide::queue::{Flow, Queue, Rank};

fn rank(workspace: u64, priority: u8, work: u64) -> Rank {
    Rank {
        priority,
        flow: Flow {
            workspace,
            class: u64::from(priority),
        },
        weight: 1.0,
        work,
        deadline: Duration::from_secs(100),
    }
}

fn order(queue: &Queue<u64>) -> Vec<u64> {
    queue.iter().map(|(_, workspace)| *workspace).collect()
}

// A workspace has a thousand requests queued when another sends one. In order
// of arrival, it would go last.
#[test]
fn surge_of_one_workspace_does_not_hold_up_another() {
    let mut queue = Queue::default();
    for ticket in 0..1_000 {
        queue.push(ticket, &rank(1, 2, 500), 1);
    }
    queue.push(1_000, &rank(2, 2, 500), 2);
    let place = order(&queue).iter().position(|workspace| *workspace == 2);
    assert_eq!(place, Some(1));
}

// An interactive request arrives while drafts wait. It must go before all of
// them, however many there are and however long they have waited.
#[test]
fn higher_priority_never_waits_behind_lower() {
    let mut queue = Queue::default();
    for ticket in 0..100 {
        queue.push(ticket, &rank(1, 2, 1), 1);
    }
    queue.push(100, &rank(1, 0, 9_000), 9);
    assert_eq!(order(&queue).first(), Some(&9));
}

// A workspace fills the queue to its last place. A request of another
// workspace would then be refused with "queue full".
#[test]
fn full_queue_still_admits_other_workspaces() {
    let mut queue = Queue::default();
    let (surging, other) = (rank(1, 2, 1), rank(2, 2, 1));
    for ticket in 0..100 {
        assert!(!queue.is_full_for(100, surging.flow));
        queue.push(ticket, &surging, 1);
    }
    assert!(queue.is_full_for(100, surging.flow));
    for ticket in 100..150 {
        assert!(!queue.is_full_for(100, other.flow));
        queue.push(ticket, &other, 2);
    }
    assert!(queue.is_full_for(100, other.flow));
}

// A workspace that was idle must not accumulate its unused share and then hold
// up all the others.
#[test]
fn idle_workspace_accumulates_no_share() {
    let mut queue = Queue::default();
    for ticket in 0..100 {
        queue.push(ticket, &rank(1, 2, 100), 1);
        queue.take_for_dispatch(ticket);
        queue.push(1_000 + ticket, &rank(1, 2, 100), 1);
    }
    for ticket in 2_000..2_010 {
        queue.push(ticket, &rank(2, 2, 100), 2);
    }
    let early = order(&queue).into_iter().take(20);
    assert!(early.filter(|workspace| *workspace == 1).count() >= 8);
}

#[test]
fn expired_requests_come_out_in_the_order_of_their_deadlines() {
    let mut queue = Queue::default();
    for (ticket, secs) in [(1, 30), (2, 10), (3, 20)] {
        let deadline = Duration::from_secs(secs);
        let rank = Rank {
            deadline,
            ..rank(ticket, 2, 1)
        };
        queue.push(ticket, &rank, ticket);
    }
    let now = Duration::from_secs(20);
    let out: Vec<_> = std::iter::from_fn(|| queue.pop_expired(now)).collect();
    assert_eq!(out, [(2, 2), (3, 3)]);
    assert_eq!(queue.len(), 1);
}
