//! Choice of the group for a request.

use {rand::RngExt, rand_chacha::ChaCha8Rng};

/// Routing policy. Further policies, such as the routing of the core, are added as variants here
/// and in [`RoutingVariant::choose`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutingVariant {
    /// Each group in turn.
    RoundRobin,
    /// Group with the fewest requests in flight.
    LeastInFlight,
    /// The better of two random groups.
    TwoChoices,
}

impl RoutingVariant {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastInFlight, Self::TwoChoices];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeastInFlight => "least in flight",
            Self::RoundRobin => "round robin",
            Self::TwoChoices => "two random choices",
        }
    }

    /// Chooses a group for the request with a number, from the requests in flight at each group.
    pub fn choose(self, number: u64, in_flight: &[f64], random: &mut ChaCha8Rng) -> usize {
        let groups = in_flight.len();
        match self {
            Self::LeastInFlight => least(0..groups, in_flight),
            Self::RoundRobin => (number % groups as u64) as usize,
            Self::TwoChoices => {
                let choices = [
                    random.random_range(0..groups),
                    random.random_range(0..groups),
                ];
                least(choices.into_iter(), in_flight)
            }
        }
    }
}

fn least(groups: impl Iterator<Item = usize>, in_flight: &[f64]) -> usize {
    let least = groups.min_by(|left, right| in_flight[*left].total_cmp(&in_flight[*right]));
    least.unwrap_or_default()
}
