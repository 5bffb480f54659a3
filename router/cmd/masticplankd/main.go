// Command masticplankd is one entry instance.
package main

func main() {}
