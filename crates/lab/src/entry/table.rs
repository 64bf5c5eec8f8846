//! Formats the figures of a run as a table.

use std::fmt::Write as _;

use super::{Phase, Run, Stats};

const MIB: f64 = 1024.0 * 1024.0;

pub(super) fn format_run(run: &Run) -> String {
    let mut out = format!(
        "{} VM(s), load average {} before, {} after\n\
         without calls: {:.4} of a core, {:.1} MiB; each further token: {:.1} us\n",
        run.vms,
        run.load_average_before,
        run.load_average_after,
        run.idle_core,
        run.idle_memory_bytes as f64 / MIB,
        run.token_cpu_us,
    );
    for phase in &run.phases {
        write_phase(&mut out, phase);
    }
    out
}

fn write_phase(out: &mut String, phase: &Phase) {
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "{}: {:.1} us CPU per call, entry {:.2} of a core, load {:.2}, {:.1} MiB",
        phase.name,
        phase.cpu_us,
        phase.entry_core,
        phase.load_core,
        phase.memory_bytes as f64 / MIB
    );
    for (name, stats) in [("direct", &phase.direct), ("entry", &phase.entry)] {
        let _ = writeln!(out, "  {name:<7} {}", format_stats(stats));
    }
    let (direct, entry) = (&phase.direct, &phase.entry);
    let _ = writeln!(
        out,
        "  added   {:>22} p50 {:>9.0} us  p99 {:>9.0} us  p99.9 {:>9.0} us",
        "",
        entry.p50_us - direct.p50_us,
        entry.p99_us - direct.p99_us,
        entry.p999_us - direct.p999_us
    );
}

fn format_stats(stats: &Stats) -> String {
    format!(
        "{:>8.0}/s {:>4} failed p50 {:>9.0} us  p99 {:>9.0} us  p99.9 {:>9.0} us",
        stats.rate, stats.failed, stats.p50_us, stats.p99_us, stats.p999_us
    )
}
