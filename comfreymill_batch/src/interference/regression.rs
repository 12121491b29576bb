/// Default factor by which each report reduces the weight of the earlier ones.
const FORGETTING: f64 = 0.9995;
const PRIOR_EFFECT: f64 = 0.1;
const PRIOR_STRENGTH: f64 = 0.2;
const PRIOR_ALONE: f64 = 1.0;
const PRIOR_ALONE_STRENGTH: f64 = 1.0;
const MAX_REPORTS_PER_FIT: u32 = 16;
/// Number of reports that raises the interval between fits by one, up to the maximum.
const REPORTS_PER_INTERVAL_STEP: u32 = 8;

/// Linear regression by least squares with exponential forgetting; the first coefficient is the
/// intercept.
#[derive(Clone, Debug)]
pub struct Regression {
    /// Sums of products of the inputs, row by row.
    products: Vec<Vec<f64>>,
    /// Sums of products of the inputs and the output.
    targets: Vec<f64>,
    solution: Vec<f64>,
    reports: u32,
    unfitted: u32,
    /// Factor by which each report reduces the weight of the earlier ones.
    forgetting: f64,
    /// Coefficient assumed for an input, and the weight of that assumption.
    prior: (f64, f64),
}

impl Default for Regression {
    fn default() -> Self {
        let mut fit = Self {
            products: Vec::new(),
            targets: Vec::new(),
            solution: Vec::new(),
            reports: 0,
            unfitted: 0,
            forgetting: FORGETTING,
            prior: (PRIOR_EFFECT, PRIOR_STRENGTH),
        };
        fit.grow(PRIOR_ALONE);
        fit
    }
}

impl Regression {
    /// Sets the factor by which each report reduces the weight of the earlier ones, from 0 to 1.
    #[must_use]
    pub fn forgetting(mut self, forgetting: f64) -> Self {
        self.forgetting = forgetting;
        self
    }

    /// Sets the coefficient assumed for inputs that are added later, and the weight of that
    /// assumption as a sum of squared inputs.
    #[must_use]
    pub fn prior(mut self, effect: f64, strength: f64) -> Self {
        self.prior = (effect, strength);
        self
    }

    /// Adds an input variable and returns its position.
    pub fn add_input(&mut self) -> usize {
        self.grow(self.prior.0);
        self.solution.len() - 1
    }

    /// Adds one observation: inputs by position, without the intercept, and the output.
    pub fn observe(&mut self, inputs: &[(usize, f64)], output: f64) {
        let forgetting = self.forgetting;
        for row in &mut self.products {
            row.iter_mut().for_each(|product| *product *= forgetting);
        }
        self.targets.iter_mut().for_each(|target| *target *= forgetting);
        let with_intercept = || std::iter::once((0, 1.0)).chain(inputs.iter().copied());
        for (i, a) in with_intercept() {
            self.targets[i] += a * output;
            for (j, b) in with_intercept() {
                self.products[i][j] += a * b;
            }
        }
        self.unfitted += 1;
        self.reports = self.reports.saturating_add(1);
        let interval = (self.reports / REPORTS_PER_INTERVAL_STEP).min(MAX_REPORTS_PER_FIT);
        if self.unfitted >= interval {
            self.fit();
        }
    }

    /// Returns the intercept, which is the output when all inputs are zero.
    pub fn get_intercept(&self) -> f64 {
        self.solution[0]
    }

    /// Returns the coefficient of the input at `position`.
    pub fn get_effect(&self, position: usize) -> f64 {
        self.solution[position]
    }

    fn grow(&mut self, prior: f64) {
        for row in &mut self.products {
            row.push(0.0);
        }
        let width = self.solution.len() + 1;
        self.products.push(vec![0.0; width]);
        self.targets.push(0.0);
        self.solution.push(prior);
    }

    /// Solves the normal equations, regularised towards the priors where reports are few.
    fn fit(&mut self) {
        self.unfitted = 0;
        let width = self.solution.len();
        let mut rows: Vec<Vec<f64>> = Vec::with_capacity(width);
        for i in 0..width {
            let (prior, strength) = self.prior_of(i);
            let mut row = self.products[i].clone();
            row[i] += strength;
            row.push(self.targets[i] + strength * prior);
            rows.push(row);
        }
        if let Some(solution) = solve(rows) {
            self.solution = solution;
        }
    }

    /// Returns the coefficient assumed at `position`, and the weight of that assumption.
    fn prior_of(&self, position: usize) -> (f64, f64) {
        if position == 0 { (PRIOR_ALONE, PRIOR_ALONE_STRENGTH) } else { self.prior }
    }
}

/// Solves the system by Gaussian elimination. The priors make the matrix positive definite, so no
/// pivoting is needed.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let width = rows.len();
    for i in 0..width {
        let pivot = rows[i].clone();
        if pivot[i] <= f64::EPSILON {
            return None;
        }
        for row in rows.iter_mut().skip(i + 1) {
            let factor = row[i] / pivot[i];
            for (value, above) in row.iter_mut().zip(&pivot).skip(i) {
                *value -= factor * above;
            }
        }
    }
    let mut solution = vec![0.0; width];
    for i in (0..width).rev() {
        let known: f64 = (i + 1..width).map(|j| rows[i][j] * solution[j]).sum();
        solution[i] = (rows[i][width] - known) / rows[i][i];
    }
    Some(solution)
}
