// Command sesamedrift runs a host, operates a running system and generates load.
package main

func main() {}
