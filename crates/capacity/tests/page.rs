//! The fitted lines, the sums and the page, on figures made up here.

use godwitpost_bench::figure::{Bound, Figure};
use godwitpost_capacity::letter;
use godwitpost_capacity::page::{Sum, render};
use godwitpost_capacity::role::{Cost, Measure};
use godwitpost_capacity::slope::Line;

fn measure(cost: Cost, slope: f64) -> Measure {
    let point = |size: f64| (size, 100.0 + slope * size);
    Measure {
        role: "owner",
        what: "locations",
        against: "chats",
        points: [10.0, 20.0, 50.0].map(point).into(),
        size: 1_000.0,
        cost,
        control: true,
    }
}

#[test]
fn a_line_goes_through_points_that_lie_on_one() {
    let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((line.base - 3.0).abs() < 1e-9, "{line:?}");
    assert!((line.slope - 2.0).abs() < 1e-9, "{line:?}");
    assert!((line.at(10.0) - 23.0).abs() < 1e-9, "{line:?}");
}

#[test]
#[should_panic(expected = "two different sizes")]
fn one_size_gives_no_line() {
    let _line = Line::fit(&[(1.0, 5.0), (1.0, 7.0)]);
}

#[test]
fn sums_are_held_against_each_budget() {
    let fits = [
        measure(Cost::Memory, 3.0),
        measure(Cost::Traffic { rate: 1.0 }, 3.0),
    ];
    assert!(Sum::of(&fits).holds());
    let heavy = [measure(Cost::Memory, letter::MEMORY)];
    assert!(!Sum::of(&heavy).holds());
    let slow = [measure(Cost::Time { rate: 1e6 }, 3.0)];
    assert!(!Sum::of(&slow).holds());
    let loud = [measure(Cost::Traffic { rate: 10.0 }, 3.0)];
    assert!(!Sum::of(&loud).holds());
}

#[test]
fn the_data_path_is_not_held_against_the_control_budget() {
    let mut data = measure(Cost::Memory, letter::MEMORY);
    data.control = false;
    assert!(Sum::of(&[data]).holds());
}

#[test]
fn a_row_shows_points_line_and_total() {
    let page = render(&[measure(Cost::Memory, 3.0)], &[], "the command");
    let row = "| owner | locations | 10: 130.0 B; 20: 160.0 B; 50: 250.0 B \
               | 100.0 B + 3.0 B for each of the chats | 1000 | 0.00 MB | control |";
    assert!(page.contains(row), "{page}");
    assert!(page.contains("Written by `the command`"), "{page}");
}

#[test]
fn a_running_figure_over_its_bound_is_marked() {
    let over = Figure::new("control.320.bytes", 7000.0, "B/s", Bound::AtMost(6144.0));
    let kept = Figure::new("control.6.bytes", 3000.0, "B/s", Bound::AtMost(6144.0));
    let page = render(&[measure(Cost::Memory, 3.0)], &[over, kept], "the command");
    let row = "| control.320.bytes | 7000.0000 | B/s | at most 6144 | **over** |";
    assert!(page.contains(row), "{page}");
    let row = "| control.6.bytes | 3000.0000 | B/s | at most 6144 |  |";
    assert!(page.contains(row), "{page}");
}
