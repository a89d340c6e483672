//! Prints the cost of one request decision. Run it with `--release`.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicU64, Ordering},
};

#[path = "../../standin/src/bench/micro.rs"]
mod micro;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static ALLOCATED: AtomicU64 = AtomicU64::new(0);
static FREED: AtomicU64 = AtomicU64::new(0);

/// The system's allocator with counters.
struct Counting;

#[allow(
    unsafe_code,
    reason = "an allocator can only be wrapped by unsafe code"
)]
// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        ALLOCATED.fetch_add(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        FREED.fetch_add(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn main() {
    let table = micro::run(micro::Meter {
        allocations: || ALLOCATIONS.load(Ordering::Relaxed),
        live_bytes: || ALLOCATED.load(Ordering::Relaxed) - FREED.load(Ordering::Relaxed),
    });
    print!("{table}");
    println!(
        "bound of {:?} at the target size: {}",
        micro::BOUND,
        if table.holds() { "held" } else { "missed" }
    );
}
