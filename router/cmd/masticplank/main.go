// Command masticplank is the operators' tool.
package main

func main() {}
