// Package outlier finds backend servers that fail requests, by the evidence of all instances.
//
// Load: dozens of instances in front of more than a hundred servers, so that one pair of instance and server meets each
// 20 s, while some servers break each request within milliseconds. Harm prevented: such a server looks idle to all
// instances, and each of them loses some requests there before it knows by itself.
package outlier
