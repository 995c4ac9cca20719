//! Measures the time and memory cost of the ledger and the attempt table.
//!
//! Run with `cargo run --release --example once_cost`; prints CSV.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use aspenspring::call::{AttemptId, HttpAnswer, Key, KeyLifetime, NodeId, Verdict};
use aspenspring::once::{
    Arrival, AttemptTable, AttemptTableOptions, Fingerprint, Handover, Ledger, LedgerOptions,
    Offer, ReturnPath,
};

/// An allocator that counts the allocated bytes.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const OWNER: NodeId = NodeId(1);
const START_UNIX_MS: u64 = 1_700_000_000_000;
const CALLS: u64 = 100_000;
const BODY_BYTES: usize = 300;

fn main() {
    println!("part,entries,answers,ns_new,ns_repeat,bytes_per_entry,approx_per_entry");
    for entries in [10_000, 50_000, 200_000, 400_000] {
        for keeps_answers in [false, true] {
            measure_ledger(entries, keeps_answers);
        }
    }
    println!("part,entries,answers,ms_hand_over,ms_adopt,bytes_per_entry");
    for entries in [10_000, 200_000] {
        for keeps_answers in [false, true] {
            measure_handover(entries, keeps_answers);
        }
    }
    println!("part,entries,answers,ns_new,ns_repeat,bytes_per_entry,approx_per_entry");
    for entries in [1_000, 10_000, 30_000] {
        for keeps_answers in [false, true] {
            measure_attempt_table(entries, keeps_answers);
        }
    }
}

/// Maps a counter to a number that looks random.
fn mix_bits(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

fn key(number: u64) -> Key {
    let minted_unix_ms = START_UNIX_MS + number / 50;
    Key::mint(OWNER, minted_unix_ms, mix_bits(number), KeyLifetime::Caller)
}

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint(mix_bits(number))
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId { origin: NodeId(sequence % 100), sequence, nonce: mix_bits(sequence) as u32 }
}

fn answer(keeps_answers: bool) -> Verdict {
    let length = if keeps_answers { BODY_BYTES } else { 0 };
    let headers = vec![("content-type".to_string(), "application/json".to_string())];
    Verdict::Answered(HttpAnswer { status: 200, headers, body: vec![7; length].into() })
}

fn answers_max_bytes(keeps_answers: bool) -> usize {
    if keeps_answers { usize::MAX } else { 0 }
}

/// Offers and finishes the keys from `first` up to but not including `last`.
fn run_keys(ledger: &mut Ledger, first: u64, last: u64, keeps_answers: bool) {
    for number in first..last {
        let offer = ledger.offer(START_UNIX_MS, key(number), fingerprint(number), attempt(number));
        assert_eq!(offer, Offer::Run);
        black_box(ledger.finished(key(number), attempt(number), &answer(keeps_answers)));
    }
}

fn measure_ledger(entries: u64, keeps_answers: bool) {
    let options = LedgerOptions::builder()
        .entries_max(usize::MAX)
        .skew_max_ms(1 << 40)
        .answers_max_bytes(answers_max_bytes(keeps_answers))
        .build();
    let before_bytes = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let mut ledger = Ledger::new(OWNER, options);
    run_keys(&mut ledger, 0, entries, keeps_answers);
    let bytes = (ALLOCATED_BYTES.load(Ordering::Relaxed) - before_bytes) as u64 / entries;
    let approx = ledger.approx_bytes() as u64 / entries;
    let started = Instant::now();
    run_keys(&mut ledger, entries, entries + CALLS, keeps_answers);
    let new_ns = started.elapsed().as_nanos() as u64 / CALLS;
    let started = Instant::now();
    for number in 0..CALLS {
        let known = mix_bits(number) % entries;
        let request = fingerprint(known);
        black_box(ledger.offer(START_UNIX_MS, key(known), request, attempt(number)));
    }
    let repeat_ns = started.elapsed().as_nanos() as u64 / CALLS;
    println!("ledger,{entries},{keeps_answers},{new_ns},{repeat_ns},{bytes},{approx}");
}

fn measure_handover(entries: u64, keeps_answers: bool) {
    let options = LedgerOptions::builder()
        .skew_max_ms(1 << 40)
        .answers_max_bytes(answers_max_bytes(keeps_answers))
        .build();
    let successor = NodeId(2);
    let mut leaving = Ledger::new(OWNER, options);
    run_keys(&mut leaving, 0, entries, keeps_answers);
    let started = Instant::now();
    let encoded = leaving.hand_over(successor, usize::MAX).expect("nothing is running");
    let hand_over_ms = started.elapsed().as_millis();
    let started = Instant::now();
    let handover = Handover::decode(&encoded).expect("it was just encoded");
    Ledger::new(successor, options).adopt(START_UNIX_MS, handover).expect("the successor is empty");
    let adopt_ms = started.elapsed().as_millis();
    let bytes = encoded.len() as u64 / entries;
    println!("handover,{entries},{keeps_answers},{hand_over_ms},{adopt_ms},{bytes}");
}

/// Records and settles the attempts from `first` up to but not including `last`.
fn run_attempts(table: &mut AttemptTable, first: u64, last: u64, keeps_answers: bool) {
    for number in first..last {
        let arrival = table.arrive(number, attempt(number), number, ReturnPath(number));
        assert_eq!(arrival, Arrival::New);
        black_box(table.settle(number, attempt(number), &answer(keeps_answers)));
    }
}

fn measure_attempt_table(entries: u64, keeps_answers: bool) {
    let options = AttemptTableOptions::builder()
        .entries_max(usize::MAX)
        .answers_max_bytes(answers_max_bytes(keeps_answers))
        .build();
    let before_bytes = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let mut table = AttemptTable::new(options);
    run_attempts(&mut table, 0, entries, keeps_answers);
    let bytes = (ALLOCATED_BYTES.load(Ordering::Relaxed) - before_bytes) as u64 / entries;
    let approx = table.approx_bytes() as u64 / entries;
    let started = Instant::now();
    run_attempts(&mut table, entries, entries + CALLS, keeps_answers);
    let new_ns = started.elapsed().as_nanos() as u64 / CALLS;
    let started = Instant::now();
    for number in 0..CALLS {
        let known = mix_bits(number) % entries;
        black_box(table.arrive(entries, attempt(known), entries, ReturnPath(0)));
    }
    let repeat_ns = started.elapsed().as_nanos() as u64 / CALLS;
    println!("attempt_table,{entries},{keeps_answers},{new_ns},{repeat_ns},{bytes},{approx}");
}
