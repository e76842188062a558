package main

import (
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against a setting that is accepted where it has no effect.
func TestArgumentsAreChecked(t *testing.T) {
	c := quicktest.New(t)
	c.Check(arguments{}.check(), quicktest.IsNotNil)
	c.Check(arguments{Config: "node.ini", Follow: true}.check(), quicktest.IsNotNil)
	c.Check(arguments{Config: "node.ini"}.check(), quicktest.IsNil)
	c.Check(arguments{Platform: true}.check(), quicktest.IsNil)
	c.Check(arguments{Platform: true, Follow: true}.check(), quicktest.IsNil)
}
