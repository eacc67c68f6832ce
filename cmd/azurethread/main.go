// Command azurethread is the operators' tool.
package main

func main() {}
