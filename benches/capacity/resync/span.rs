//! Random linear combinations over GF(2^8), after V. Skachek and M. G. Rabbat, "Subspace Synchronization: A
//! Network-Coding Approach to Object Reconciliation".
//!
//! Records of `n` bytes span at most `n` dimensions, so that of more than `n` records not even the whole space tells which
//! ones a side has. Each vector is therefore a unit vector with a place for each distinct record of either side, followed
//! by the record. Places are given out ideally here; hashes would need more of them. The receiver does not know which
//! places the sender has, so the unit part is sent too.

use rand::Rng;

use crate::resync::{RECORD_BYTES, coefficient};

/// The polynomial x^8 + x^4 + x^3 + x + 1.
const POLYNOMIAL: u16 = 0x11b;
/// Combinations in a row that bring nothing new before the receiver takes its span for complete. The chance that one
/// brings nothing although something is missing is 1/256.
const SILENT: usize = 2;

/// What one direction cost, and whether the receiver's span holds all of the sender's vectors.
pub struct Exchange {
    pub bytes: usize,
    pub complete: bool,
}

/// Products over GF(2^8), one row a factor.
struct Field {
    product: Vec<[u8; 256]>,
}

impl Field {
    fn new() -> Self {
        let multiply = |a: u16, b: u16| {
            let mut product = (0..8).filter(|bit| b >> bit & 1 == 1).fold(0u16, |sum, bit| sum ^ (a << bit));
            for bit in (8..16).rev().filter(|bit| *bit < 16) {
                if product >> bit & 1 == 1 {
                    product ^= POLYNOMIAL << (bit - 8);
                }
            }
            product as u8
        };
        let row = |a: u16| std::array::from_fn(|b| multiply(a, b as u16));
        Self { product: (0..256).map(row).collect() }
    }

    fn inverse(&self, value: u8) -> u8 {
        (1..=u8::MAX).find(|other| self.product[usize::from(value)][usize::from(*other)] == 1).unwrap_or(0)
    }

    /// `into += factor * from`
    fn add_scaled(&self, into: &mut [u8], from: &[u8], factor: u8) {
        let row = &self.product[usize::from(factor)];
        into.iter_mut().zip(from).for_each(|(sum, byte)| *sum ^= row[usize::from(*byte)]);
    }
}

/// Vectors in echelon form, by the place of their first byte that is not zero.
struct Span {
    rows: Vec<Option<Vec<u8>>>,
}

impl Span {
    fn new(length: usize) -> Self {
        Self { rows: vec![None; length] }
    }

    /// Adds a vector unless it is in the span already; says whether it was added.
    fn add(&mut self, mut vector: Vec<u8>, field: &Field) -> bool {
        for place in 0..vector.len() {
            if vector[place] == 0 {
                continue;
            }
            match &self.rows[place] {
                Some(row) => {
                    let factor = vector[place];
                    field.add_scaled(&mut vector[place..], &row[place..], factor);
                }
                None => {
                    let inverse = field.inverse(vector[place]);
                    let row = &field.product[usize::from(inverse)];
                    vector.iter_mut().for_each(|byte| *byte = row[usize::from(*byte)]);
                    self.rows[place] = Some(vector);
                    return true;
                }
            }
        }
        false
    }
}

/// A record with its place among all distinct records of both sides.
pub type Placed<'r> = (usize, &'r crate::resync::EndpointRecord);

fn lifted((place, record): &Placed<'_>, places: usize) -> Vec<u8> {
    let mut vector = vec![0; places + RECORD_BYTES];
    vector[*place] = 1;
    vector[places..].copy_from_slice(*record);
    vector
}

/// Sends combinations of all vectors of `from` until they bring `to` nothing new.
pub fn exchange(from: &[Placed<'_>], to: &[Placed<'_>], places: usize, random: &mut impl Rng) -> Exchange {
    let field = Field::new();
    let mut span = Span::new(places + RECORD_BYTES);
    to.iter().for_each(|placed| _ = span.add(lifted(placed, places), &field));
    let (mut bytes, mut silent) = (0, 0);
    while silent < SILENT {
        let mut vector = vec![0; places + RECORD_BYTES];
        for (place, record) in from {
            let factor = coefficient(random);
            vector[*place] ^= factor;
            field.add_scaled(&mut vector[places..], *record, factor);
        }
        // One byte answers whether the vector was new.
        bytes += vector.len() + 1;
        silent = if span.add(vector, &field) { 0 } else { silent + 1 };
    }
    let complete = from.iter().all(|placed| !span.add(lifted(placed, places), &field));
    Exchange { bytes, complete }
}
