//! Draws goodput over time, a line for each arm.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::{ALL, Run, Spread};
use crate::standin::load::{BUCKET_MS, Summary, Window};

/// The size of the picture.
const WIDTH: f64 = 960.0;
const HEIGHT: f64 = 420.0;
/// The room for what is written beside the lines.
const LEFT: f64 = 70.0;
const RIGHT: f64 = 150.0;
const TOP: f64 = 30.0;
const BOTTOM: f64 = 50.0;
/// How many buckets a point of a line spans, so that the chance in arrivals falls out.
const SMOOTH_BUCKETS: usize = 5;
/// How many marks an axis has.
const MARKS: u32 = 5;
/// The colours of the lines, told apart also by those who see few colours.
const COLOURS: [&str; 6] = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"];

/// A picture (SVG) of good calls a second over time, the median over the runs, with the trigger of
/// overload in grey.
///
/// # Errors
///
/// Never fails as long as a string can grow.
pub fn plot(runs: &[Run], trigger: Option<Window>) -> Result<String, std::fmt::Error> {
    let lines = goodput(runs);
    let buckets = lines.values().map(Vec::len).max().unwrap_or(0).max(1);
    let top = lines.values().flatten().copied().fold(1.0, f64::max);
    let x = |bucket: f64| LEFT + (WIDTH - LEFT - RIGHT) * bucket / buckets as f64;
    let y = |goodput: f64| HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * goodput / top;
    let mut svg = String::new();
    writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">"
    )?;
    writeln!(svg, "<rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>")?;
    if let Some(trigger) = trigger {
        let bucket = |at_ms: u64| x(at_ms as f64 / BUCKET_MS as f64).min(WIDTH - RIGHT);
        let (from, to) = (bucket(trigger.from_ms), bucket(trigger.to_ms));
        let (width, height) = (to - from, HEIGHT - TOP - BOTTOM);
        writeln!(
            svg,
            "<rect x=\"{from:.1}\" y=\"{TOP}\" width=\"{width:.1}\" height=\"{height}\" \
             fill=\"#dddddd\"/>"
        )?;
    }
    for mark in 0..=MARKS {
        let part = f64::from(mark) / f64::from(MARKS);
        let (bucket, goodput) = (part * buckets as f64, part * top);
        let at_s = bucket * BUCKET_MS as f64 / 1_000.0;
        let (across, down) = (x(bucket), y(goodput));
        let (end, label) = (WIDTH - RIGHT, HEIGHT - BOTTOM + 16.0);
        writeln!(
            svg,
            "<path d=\"M{LEFT} {down:.1}H{end}\" stroke=\"#bbbbbb\" stroke-width=\"0.5\"/>"
        )?;
        write_text(&mut svg, (LEFT - 6.0, down + 4.0), "end", &format!("{goodput:.0}"))?;
        write_text(&mut svg, (across, label), "middle", &format!("{at_s:.0}"))?;
    }
    write_text(&mut svg, (LEFT, TOP - 10.0), "start", "good calls a second, by arm")?;
    write_text(&mut svg, (WIDTH - RIGHT, HEIGHT - 12.0), "end", "seconds")?;
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
        let at = (WIDTH - RIGHT + 10.0, TOP + 16.0 * (index as f64 + 1.0));
        writeln!(svg, "<g fill=\"{colour}\">")?;
        write_text(&mut svg, at, "start", arm)?;
        writeln!(svg, "</g>")?;
    }
    writeln!(svg, "</svg>")?;
    Ok(svg)
}

/// Writes a text at a place. Names of arms hold nothing that SVG would have to escape.
fn write_text(svg: &mut String, at: (f64, f64), anchor: &str, text: &str) -> std::fmt::Result {
    let (x, y) = at;
    writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{text}</text>")
}

/// Good calls a second in each bucket, by arm: smoothed, and the median over the runs.
fn goodput(runs: &[Run]) -> BTreeMap<String, Vec<f64>> {
    let mut repeats: BTreeMap<String, Vec<Vec<f64>>> = BTreeMap::new();
    for run in runs {
        let summary = Summary::new(&run.records, run.length_ms(), None);
        for group in summary.groups {
            if group.kind != ALL || group.arm == ALL || group.arm.is_empty() {
                continue;
            }
            repeats.entry(group.arm).or_default().push(smooth(&group.good_by_bucket));
        }
    }
    let mut lines = BTreeMap::new();
    for (arm, repeats) in repeats {
        let buckets = repeats.iter().map(Vec::len).max().unwrap_or(0);
        let median = |bucket: usize| {
            let values = repeats.iter().filter_map(|repeat| repeat.get(bucket).copied());
            Spread::of(values).map_or(0.0, |spread| spread.median)
        };
        lines.insert(arm, (0..buckets).map(median).collect());
    }
    lines
}

/// Calls a second, each the mean over some buckets around it.
fn smooth(calls: &[u64]) -> Vec<f64> {
    let mut smoothed = Vec::new();
    for bucket in 0..calls.len() {
        let from = bucket.saturating_sub(SMOOTH_BUCKETS / 2);
        let to = (bucket + SMOOTH_BUCKETS / 2 + 1).min(calls.len());
        let sum: u64 = calls[from..to].iter().sum();
        let span_ms = (to - from) as f64 * BUCKET_MS as f64;
        smoothed.push(sum as f64 * 1_000.0 / span_ms);
    }
    smoothed
}
