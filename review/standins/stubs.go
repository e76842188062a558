package main

func largeBodies(p *play) (bool, error) { return false, nil }
func lateBeat(p *play) (bool, error)    { return false, nil }
func movedStore(p *play) (bool, error)  { return false, nil }
