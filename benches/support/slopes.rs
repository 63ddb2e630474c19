//! Least-squares fits of a cost by the numbers of agents and entries.

/// Unknowns of a fit: the fixed part, the part for each agent and the part for each entry.
const UNKNOWNS: usize = 3;
/// Below this a pivot counts as zero, and the shapes do not set the unknowns apart.
const MIN_PIVOT: f64 = 1e-9;

/// Point is one measured cost.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Agents of the fleet.
    pub agents: f64,
    /// Entries of the fleet.
    pub entries: f64,
    /// The cost.
    pub cost: f64,
}

/// Fit is a plane through measured costs.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The cost of a process alone.
    pub fixed: f64,
    /// The cost of each agent.
    pub per_agent: f64,
    /// The cost of each entry.
    pub per_entry: f64,
    /// The largest distance of a point from the plane.
    pub worst_residual: f64,
}

/// Fits a plane; none where the points do not set the unknowns apart.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let mut rows = [[0.0; UNKNOWNS + 1]; UNKNOWNS];
    for point in points {
        let values = [1.0, point.agents, point.entries];
        for (row, left) in rows.iter_mut().zip(values) {
            for (cell, right) in row.iter_mut().zip(values) {
                *cell += left * right;
            }
            row[UNKNOWNS] += left * point.cost;
        }
    }
    let [fixed, per_agent, per_entry] = solve(rows)?;
    let residual = |point: &Point| {
        (point.cost - fixed - per_agent * point.agents - per_entry * point.entries).abs()
    };
    let worst_residual = points.iter().map(residual).fold(0.0, f64::max);
    Some(Fit { fixed, per_agent, per_entry, worst_residual })
}

/// Solves the normal equations by elimination.
fn solve(mut rows: [[f64; UNKNOWNS + 1]; UNKNOWNS]) -> Option<[f64; UNKNOWNS]> {
    for pivot in 0..UNKNOWNS {
        let largest = |row: &usize, other: &usize| {
            rows[*row][pivot].abs().total_cmp(&rows[*other][pivot].abs())
        };
        let best = (pivot..UNKNOWNS).max_by(largest)?;
        rows.swap(pivot, best);
        if rows[pivot][pivot].abs() < MIN_PIVOT {
            return None;
        }
        let pivot_row = rows[pivot];
        for (_, row) in rows.iter_mut().enumerate().filter(|(index, _)| *index != pivot) {
            let factor = row[pivot] / pivot_row[pivot];
            for (cell, above) in row.iter_mut().zip(pivot_row) {
                *cell -= factor * above;
            }
        }
    }
    Some([0, 1, 2].map(|index| rows[index][UNKNOWNS] / rows[index][index]))
}
