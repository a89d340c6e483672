//! Benchmarks of real daemons in front of stand-ins on loopback.

#[path = "../bench/mod.rs"]
mod bench;

use std::{
    alloc::{GlobalAlloc, Layout, System},
    process::ExitCode,
    sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
};

use clap::{Parser, Subcommand};
use miette::IntoDiagnostic as _;

/// Threads for stand-ins and load; the daemons run in their own processes.
const WORKERS: usize = 4;

#[derive(Debug, Parser)]
#[command(version, about)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Compare(bench::compare::Options),
    Overhead(bench::overhead::Options),
    Stream(bench::stream::Options),
    Faults(bench::faults::Options),
    Drain(bench::drain::Options),
    Control(bench::control::Options),
    Orders(bench::orders::Options),
    /// Measures the cost of one request decision.
    Micro,
}

/// Whether allocations are counted. Only `micro` needs the counters; the other commands run several threads, which
/// would contend for the counters' cache line.
static COUNTING_ENABLED: AtomicBool = AtomicBool::new(false);
static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
/// Bytes allocated minus bytes freed since counting began. Signed, since memory from before may be freed later.
static LIVE_BYTES: AtomicI64 = AtomicI64::new(0);

/// The system allocator with counters.
struct CountingAllocator;

fn record_allocation(allocations: u64, allocated: usize, freed: usize) {
    if COUNTING_ENABLED.load(Ordering::Relaxed) {
        ALLOCATIONS.fetch_add(allocations, Ordering::Relaxed);
        LIVE_BYTES.fetch_add(
            allocated.cast_signed() as i64 - freed.cast_signed() as i64,
            Ordering::Relaxed,
        );
    }
}

#[allow(
    unsafe_code,
    reason = "an allocator can only be wrapped by unsafe code"
)]
// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record_allocation(1, layout.size(), 0);
        // SAFETY: the caller keeps the contract of `GlobalAlloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        record_allocation(1, layout.size(), 0);
        // SAFETY: the caller keeps the contract of `GlobalAlloc`.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        record_allocation(1, size, layout.size());
        // SAFETY: the caller keeps the contract of `GlobalAlloc`.
        unsafe { System.realloc(pointer, layout, size) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        record_allocation(0, 0, layout.size());
        // SAFETY: the caller keeps the contract of `GlobalAlloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() -> miette::Result<ExitCode> {
    let options = Options::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let passed = runtime
        .block_on(run_command(options.command))
        .into_diagnostic()?;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn run_command(command: Command) -> std::io::Result<bool> {
    match command {
        Command::Compare(options) => bench::compare::compare(options).await,
        Command::Overhead(options) => bench::overhead::overhead(options).await,
        Command::Stream(options) => bench::stream::stream(options).await,
        Command::Faults(options) => bench::faults::faults(options).await,
        Command::Control(options) => bench::control::run(options).await,
        Command::Drain(options) => bench::drain::drain(options).await,
        Command::Orders(options) => bench::orders::run(options).await,
        Command::Micro => Ok(run_micro()),
    }
}

fn run_micro() -> bool {
    COUNTING_ENABLED.store(true, Ordering::Relaxed);
    let table = bench::micro::run(bench::micro::Meter {
        allocations: || ALLOCATIONS.load(Ordering::Relaxed),
        live_bytes: || u64::try_from(LIVE_BYTES.load(Ordering::Relaxed)).unwrap_or(0),
    });
    print!("{table}");
    println!(
        "bound of {:?} at the target size: {}",
        bench::micro::MAX_MEDIAN,
        if table.within_bound() {
            "held"
        } else {
            "missed"
        }
    );
    table.within_bound()
}
