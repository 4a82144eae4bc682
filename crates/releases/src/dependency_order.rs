//! The order in which dependencies are evaluated, and the detection of cycles.
use std::collections::{HashMap, VecDeque};

use petgraph::algo::toposort;
use petgraph::graph::{DiGraph, NodeIndex};
use thiserror::Error;

use crate::model::Rules;

/// Dependencies that form a cycle: their indices in the rules, with the first one repeated at the end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the dependencies {0:?} form a cycle")]
pub struct DependencyCycle(pub Vec<usize>);

impl Rules {
    /// The indices of the dependencies, each after all dependencies that it depends on.
    ///
    /// # Errors
    /// A shortest cycle of dependencies.
    pub fn dependency_order(&self) -> Result<Vec<usize>, DependencyCycle> {
        let mut graph = DiGraph::<usize, ()>::new();
        let indices = 0..self.dependencies.len();
        let nodes: Vec<NodeIndex> = indices.map(|index| graph.add_node(index)).collect();
        for (index, dependency) in self.dependencies.iter().enumerate() {
            for (other_index, other) in self.dependencies.iter().enumerate() {
                // A build that satisfies `dependency` may itself have the dependency `other`.
                let is_dependent =
                    other.service == dependency.requires && other.builds.to >= dependency.at_least;
                if is_dependent {
                    graph.add_edge(nodes[other_index], nodes[index], ());
                }
            }
        }
        match toposort(&graph, None) {
            Ok(order) => Ok(order.into_iter().map(|node| graph[node]).collect()),
            Err(cycle) => Err(DependencyCycle(shortest_cycle(&graph, cycle.node_id()))),
        }
    }
}

/// Finds a shortest cycle through a node that is on a cycle.
fn shortest_cycle(graph: &DiGraph<usize, ()>, from: NodeIndex) -> Vec<usize> {
    let mut reached_from = HashMap::new();
    let mut queue = VecDeque::from([from]);
    while let Some(node) = queue.pop_front() {
        for next in graph.neighbors(node) {
            if next == from {
                let mut path = vec![graph[from], graph[node]];
                let mut last = node;
                while last != from {
                    last = reached_from[&last];
                    path.push(graph[last]);
                }
                return path;
            }
            reached_from.entry(next).or_insert_with(|| {
                queue.push_back(next);
                node
            });
        }
    }
    vec![graph[from]]
}
