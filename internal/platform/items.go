package platform

import (
	"encoding/json"
	"errors"
	"fmt"

	"cassiadeal.example/cassiadeal/internal/hostport"
	"cassiadeal.example/cassiadeal/internal/jsonscan"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// maxDataDepth is how deeply the value of an object may be nested. Values that nodes write need far less.
const maxDataDepth = 64

// listItem is an object of a list, or the change of one. Data is empty if the value can't be read.
type listItem struct {
	Name    string
	Version uint64
	Deleted bool
	Data    json.RawMessage
}

// listResponse is a list or the response to a watch. Each item is decoded for itself, so that one that can't be read doesn't make the
// others unreadable.
type listResponse struct {
	Version uint64
	Items   []listItem
	Events  []listItem
}

func (r *listResponse) decode(body []byte) error {
	members, err := jsonscan.Members(body)
	if err != nil {
		return err
	}
	if err := decodeMember(members["version"], &r.Version); err != nil {
		return err
	}
	if r.Items, err = decodeItems(members["items"]); err != nil {
		return err
	}
	r.Events, err = decodeItems(members["events"])
	return err
}

// decodeItems decodes the items of an array, and leaves out those without a readable name and version.
func decodeItems(array json.RawMessage) ([]listItem, error) {
	elements, err := decodeElements(array)
	if err != nil {
		return nil, err
	}
	items := make([]listItem, 0, len(elements))
	for _, element := range elements {
		if item, err := decodeItem(element); err == nil {
			items = append(items, item)
		}
	}
	return items, nil
}

func decodeItem(data json.RawMessage) (listItem, error) {
	var item listItem
	members, err := jsonscan.Members(data)
	if err != nil {
		return item, err
	}
	if jsonscan.Valid(members["data"], maxDataDepth) {
		item.Data = members["data"]
	}
	return item, errors.Join(decodeMember(members["name"], &item.Name), decodeMember(members["version"], &item.Version),
		decodeMember(members["deleted"], &item.Deleted))
}

// vmListResponse is the list of VMs.
type vmListResponse struct {
	Version uint64
	VMs     []json.RawMessage
}

func (r *vmListResponse) decode(body []byte) error {
	members, err := jsonscan.Members(body)
	if err != nil {
		return err
	}
	if err := decodeMember(members["version"], &r.Version); err != nil {
		return err
	}
	r.VMs, err = decodeElements(members["vms"])
	return err
}

// decodeVM decodes a VM and checks that it can be used.
func decodeVM(data json.RawMessage) (*schema.VM, error) {
	if !jsonscan.Valid(data, maxDataDepth) {
		return nil, errors.New("the VM isn't valid JSON or is nested too deeply")
	}
	vm := &schema.VM{}
	if err := Decode(data, vm); err != nil {
		return nil, err
	}
	if vm.GetName() == "" {
		return nil, errors.New("the VM has no name")
	}
	if err := hostport.Check(vm.GetAddress()); vm.GetAddress() != "" && err != nil {
		return nil, fmt.Errorf("address of VM %.100q: %w", vm.GetName(), err)
	}
	return vm, nil
}

// decodeElements returns the elements of an array; none if it is missing or null.
func decodeElements(array json.RawMessage) ([]json.RawMessage, error) {
	if len(array) == 0 || string(array) == "null" {
		return nil, nil
	}
	return jsonscan.Elements(array)
}

// decodeMember decodes a member, unless it is missing.
func decodeMember(data json.RawMessage, value any) error {
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, value)
}
