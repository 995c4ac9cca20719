//! SVG plot of goodput over time, with one line per arm.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::{ALL, Run, Spread};
use crate::standin::load::{BUCKET_MS, Summary, Window};

/// Width of the plot, in SVG user units.
const WIDTH: f64 = 960.0;
/// Height of the plot, in SVG user units.
const HEIGHT: f64 = 420.0;
/// Margins around the plot area for the axis labels and the legend, in SVG user units.
const MARGIN_LEFT: f64 = 70.0;
const MARGIN_RIGHT: f64 = 150.0;
const MARGIN_TOP: f64 = 30.0;
const MARGIN_BOTTOM: f64 = 50.0;
/// Number of buckets averaged for each point, to smooth out the random variation of arrivals.
const SMOOTHING_BUCKETS: usize = 5;
/// Number of intervals that the ticks divide an axis into.
const TICKS: u32 = 5;
/// Line colours that remain distinguishable with colour vision deficiency.
const COLOURS: [&str; 6] = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"];

/// Plots good calls per second over time as SVG: the median over the runs, with the window of the
/// trigger in grey.
///
/// # Errors
///
/// None in practice: formatting into a `String` does not fail.
pub fn plot(runs: &[Run], trigger: Option<Window>) -> Result<String, std::fmt::Error> {
    let lines = goodput_by_arm(runs);
    let buckets = lines.values().map(Vec::len).max().unwrap_or(0).max(1);
    let max_goodput = lines.values().flatten().copied().fold(1.0, f64::max);
    let x =
        |bucket: f64| MARGIN_LEFT + (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) * bucket / buckets as f64;
    let y = |goodput: f64| {
        HEIGHT - MARGIN_BOTTOM - (HEIGHT - MARGIN_TOP - MARGIN_BOTTOM) * goodput / max_goodput
    };
    let mut svg = String::new();
    writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">"
    )?;
    writeln!(svg, "<rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>")?;
    if let Some(trigger) = trigger {
        let trigger_x = |at_ms: u64| x(at_ms as f64 / BUCKET_MS as f64).min(WIDTH - MARGIN_RIGHT);
        let (from, to) = (trigger_x(trigger.from_ms), trigger_x(trigger.to_ms));
        let (width, height) = (to - from, HEIGHT - MARGIN_TOP - MARGIN_BOTTOM);
        writeln!(
            svg,
            "<rect x=\"{from:.1}\" y=\"{MARGIN_TOP}\" width=\"{width:.1}\" height=\"{height}\" \
             fill=\"#dddddd\"/>"
        )?;
    }
    for tick in 0..=TICKS {
        let fraction = f64::from(tick) / f64::from(TICKS);
        let (bucket, goodput) = (fraction * buckets as f64, fraction * max_goodput);
        let at_s = bucket * BUCKET_MS as f64 / 1_000.0;
        let (tick_x, tick_y) = (x(bucket), y(goodput));
        let (grid_end, label_y) = (WIDTH - MARGIN_RIGHT, HEIGHT - MARGIN_BOTTOM + 16.0);
        writeln!(
            svg,
            "<path d=\"M{MARGIN_LEFT} {tick_y:.1}H{grid_end}\" stroke=\"#bbbbbb\" \
             stroke-width=\"0.5\"/>"
        )?;
        write_text(&mut svg, (MARGIN_LEFT - 6.0, tick_y + 4.0), "end", &format!("{goodput:.0}"))?;
        write_text(&mut svg, (tick_x, label_y), "middle", &format!("{at_s:.0}"))?;
    }
    write_text(
        &mut svg,
        (MARGIN_LEFT, MARGIN_TOP - 10.0),
        "start",
        "good calls per second, by arm",
    )?;
    write_text(&mut svg, (WIDTH - MARGIN_RIGHT, HEIGHT - 12.0), "end", "seconds")?;
    for (index, (arm, goodput)) in lines.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let mut points = String::new();
        for (bucket, goodput) in goodput.iter().enumerate() {
            write!(points, "{:.1},{:.1} ", x(bucket as f64 + 0.5), y(*goodput))?;
        }
        writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>",
            points.trim_end()
        )?;
        let position = (WIDTH - MARGIN_RIGHT + 10.0, MARGIN_TOP + 16.0 * (index as f64 + 1.0));
        writeln!(svg, "<g fill=\"{colour}\">")?;
        write_text(&mut svg, position, "start", arm)?;
        writeln!(svg, "</g>")?;
    }
    writeln!(svg, "</svg>")?;
    Ok(svg)
}

/// Writes a text element at a position. The text is not escaped: arm names contain no characters
/// that are special in SVG.
fn write_text(
    svg: &mut String,
    position: (f64, f64),
    anchor: &str,
    text: &str,
) -> std::fmt::Result {
    let (x, y) = position;
    writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{text}</text>")
}

/// Good calls per second in each bucket, by arm: smoothed, then the median over the runs.
fn goodput_by_arm(runs: &[Run]) -> BTreeMap<String, Vec<f64>> {
    let mut run_lines: BTreeMap<String, Vec<Vec<f64>>> = BTreeMap::new();
    for run in runs {
        let summary = Summary::new(&run.records, run.duration_ms(), None);
        for group in summary.groups {
            if group.kind != ALL || group.arm == ALL || group.arm.is_empty() {
                continue;
            }
            run_lines.entry(group.arm).or_default().push(smooth(&group.good_by_bucket));
        }
    }
    let mut lines = BTreeMap::new();
    for (arm, run_lines) in run_lines {
        let buckets = run_lines.iter().map(Vec::len).max().unwrap_or(0);
        let median = |bucket: usize| {
            let values = run_lines.iter().filter_map(|line| line.get(bucket).copied());
            Spread::of(values).map_or(0.0, |spread| spread.median)
        };
        lines.insert(arm, (0..buckets).map(median).collect());
    }
    lines
}

/// Calls per second, as a moving average centred on each bucket.
fn smooth(calls: &[u64]) -> Vec<f64> {
    let mut smoothed = Vec::new();
    for bucket in 0..calls.len() {
        let from = bucket.saturating_sub(SMOOTHING_BUCKETS / 2);
        let to = (bucket + SMOOTHING_BUCKETS / 2 + 1).min(calls.len());
        let sum: u64 = calls[from..to].iter().sum();
        let span_ms = (to - from) as f64 * BUCKET_MS as f64;
        smoothed.push(sum as f64 * 1_000.0 / span_ms);
    }
    smoothed
}
