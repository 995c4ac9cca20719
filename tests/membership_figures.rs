//! Measurements for docs/DESIGN-membership.md. They only check that the simulation works.
//!
//! `cargo test --release --test membership_figures -- --ignored --nocapture --test-threads 1`

mod fleet;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use aspenspring::configuration::SubmitOutcome;
use aspenspring::membership::MembershipOptions;

use fleet::{Fleet, Table, US_PER_S};

/// An allocator that counts the bytes on the heap.
struct CountingAllocator;

static HEAP_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HEAP_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HEAP_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// How many members each service has; 2,900 nodes make 145 services.
const PER_SERVICE: usize = 20;
/// How many services a service calls.
const CALLS: usize = 5;

fn options(nodes: usize) -> MembershipOptions {
    MembershipOptions::builder().site_nodes(nodes as u32).build()
}

/// A fleet of `nodes` nodes that all start at once. Each service calls the next `CALLS` services
/// and, if `popular`, the first one as well.
fn start(nodes: usize, popular: bool) -> Fleet {
    let mut fleet = Fleet::new(1, options(nodes));
    for index in 0..nodes {
        start_node(&mut fleet, nodes, index, popular);
    }
    fleet
}

fn start_node(fleet: &mut Fleet, nodes: usize, index: usize, popular: bool) {
    let services = nodes.div_ceil(PER_SERVICE);
    let service = index / PER_SERVICE;
    let mut calls: Vec<String> = Vec::new();
    for next in service + 1..(service + 1 + CALLS).min(services) {
        calls.push(format!("service-{next}"));
    }
    if popular && service != 0 {
        calls.push("service-0".to_owned());
    }
    let calls: Vec<&str> = calls.iter().map(String::as_str).collect();
    fleet.start(&format!("node-{index}"), &format!("service-{service}"), &calls);
}

/// The largest number of times in `at_us` within one whole second.
fn peak(at_us: &[u64]) -> usize {
    let mut seconds = std::collections::BTreeMap::new();
    for at in at_us {
        *seconds.entry(at / US_PER_S).or_insert(0) += 1;
    }
    seconds.into_values().max().unwrap_or(0)
}

#[test]
#[ignore = "prints measurements"]
fn steady_state() {
    const SECONDS: u64 = 120;
    println!(
        "nodes popular members msg/s sent_B/s recv_B/s worst_sent worst_recv ns/event events/s"
    );
    println!("      heap_B/node writes/s reads/s; start: peak writes/s, peak reads/s");
    for (nodes, popular) in [(20, false), (100, false), (500, false), (2_900, false), (2_900, true)]
    {
        let before = HEAP_BYTES.load(Ordering::Relaxed);
        let mut fleet = start(nodes, popular);
        fleet.run(120);
        let heap = HEAP_BYTES.load(Ordering::Relaxed) - before;
        let (peak_writes, peak_reads) = (peak(&fleet.write_at_us), peak(&fleet.read_at_us));
        let sent: Vec<u64> = fleet.nodes.iter().map(|node| node.sent_bytes).collect();
        let received: Vec<u64> = fleet.nodes.iter().map(|node| node.received_bytes).collect();
        let messages: u64 = fleet.nodes.iter().map(|node| node.sent_messages).sum();
        let (writes, reads) = (fleet.writes, fleet.reads);
        (fleet.membership_ns, fleet.membership_events) = (0, 0);
        fleet.run(SECONDS);
        let per_node_s = (nodes as u64 * SECONDS) as f64;
        let now_sent = fleet.nodes.iter().map(|node| node.sent_bytes);
        let now_received = fleet.nodes.iter().map(|node| node.received_bytes);
        let sent: Vec<u64> = now_sent.zip(sent).map(|(now, then)| now - then).collect();
        let received: Vec<u64> = now_received.zip(received).map(|(now, then)| now - then).collect();
        let now_messages: u64 = fleet.nodes.iter().map(|node| node.sent_messages).sum();
        let members: usize = fleet.nodes.iter().map(|n| n.membership.member_count()).sum();
        println!(
            "{nodes} {popular} {:.0} {:.2} {:.0} {:.0} {} {} {} {:.2}",
            members as f64 / nodes as f64,
            (now_messages - messages) as f64 / per_node_s,
            sent.iter().sum::<u64>() as f64 / per_node_s,
            received.iter().sum::<u64>() as f64 / per_node_s,
            sent.iter().max().unwrap() / SECONDS,
            received.iter().max().unwrap() / SECONDS,
            fleet.membership_ns / fleet.membership_events,
            fleet.membership_events as f64 / per_node_s,
        );
        println!(
            "      {} {:.1} {:.1}; {peak_writes} {peak_reads}",
            heap / nodes,
            (fleet.writes - writes) as f64 / SECONDS as f64,
            (fleet.reads - reads) as f64 / SECONDS as f64,
        );
        let whole =
            fleet.nodes.iter().all(|node| node.membership.member_count() >= PER_SERVICE - 1);
        assert!(whole);
    }
}

/// Runs until all nodes have version 1 and returns how long that took, in milliseconds.
fn time_to_spread(fleet: &mut Fleet, nodes: usize) -> u64 {
    let began_us = fleet.now_us;
    while fleet.count_with_version(1) < nodes {
        fleet.run_until(fleet.now_us + 50_000);
        assert!(
            fleet.now_us < began_us + 120 * US_PER_S,
            "{} have it",
            fleet.count_with_version(1)
        );
    }
    (fleet.now_us - began_us) / 1_000
}

#[test]
#[ignore = "prints measurements"]
fn configuration_spread() {
    let document = format!("{{\"base\":\"{}\"}}", "x".repeat(20_000));
    println!("nodes loss partitions: ms to all, messages and bytes per node meanwhile");
    for (nodes, loss, partitions) in [
        (20, 0.0, 1),
        (100, 0.05, 1),
        (500, 0.05, 1),
        (2_900, 0.0, 1),
        (2_900, 0.05, 1),
        (2_900, 0.2, 1),
        (2_900, 0.05, 2),
    ] {
        let mut fleet = start(nodes, false);
        fleet.run(90);
        fleet.loss = loss;
        for index in 0..nodes {
            fleet.partition_of[index] = index % partitions;
        }
        fleet.submit(nodes / 2, 7, 0, &document);
        while fleet.nodes[nodes / 2].outcomes.is_empty() {
            fleet.run_until(fleet.now_us + 1_000);
        }
        assert_eq!(fleet.nodes[nodes / 2].outcomes, [(7, SubmitOutcome::Accepted { version: 1 })]);
        fleet.table = Table::Down;
        let messages: u64 = fleet.nodes.iter().map(|node| node.sent_messages).sum();
        let bytes: u64 = fleet.nodes.iter().map(|node| node.sent_bytes).sum();
        if partitions > 1 {
            fleet.run(180);
            println!(
                "{nodes} {loss} {partitions}: {} of {nodes} after 180 s apart",
                fleet.count_with_version(1)
            );
            fleet.partition_of.fill(0);
        }
        let spread_ms = time_to_spread(&mut fleet, nodes);
        let now_messages: u64 = fleet.nodes.iter().map(|node| node.sent_messages).sum();
        let now_bytes: u64 = fleet.nodes.iter().map(|node| node.sent_bytes).sum();
        println!(
            "{nodes} {loss} {partitions}: {spread_ms} ms, {:.1} messages, {:.0} bytes",
            (now_messages - messages) as f64 / nodes as f64,
            (now_bytes - bytes) as f64 / nodes as f64,
        );
    }
}

#[test]
#[ignore = "prints measurements"]
fn a_failure_domain_restarts_cold() {
    let nodes = 2_900;
    let mut fleet = start(nodes, false);
    fleet.run(120);
    let domain: Vec<usize> = (0..nodes).filter(|index| index % 6 == 0).collect();
    for index in &domain {
        fleet.kill(*index);
    }
    fleet.run(30);
    fleet.read_at_us.clear();
    fleet.write_at_us.clear();
    for index in &domain {
        start_node(&mut fleet, nodes, *index, false);
    }
    let began_us = fleet.now_us;
    let new: Vec<usize> = (nodes..nodes + domain.len()).collect();
    let ready = |fleet: &Fleet| {
        let ready = |index: &&usize| fleet.nodes[**index].configuration.is_ready();
        new.iter().filter(ready).count()
    };
    for _ in 0..20 {
        fleet.run(1);
        println!(
            "{} s: {} of {} ready",
            (fleet.now_us - began_us) / US_PER_S,
            ready(&fleet),
            new.len()
        );
        if ready(&fleet) == new.len() {
            break;
        }
    }
    fleet.run(60);
    println!(
        "peaks in a second: {} writes, {} reads",
        peak(&fleet.write_at_us),
        peak(&fleet.read_at_us)
    );
}
