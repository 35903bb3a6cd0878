package policy

import (
	"fmt"

	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
)

// bound refuses a program whose cost is not bounded by its number of nodes:
// one with loops, ranges, calls or variables of its own.
func bound(source string) error {
	tree, err := parser.Parse(source)
	if err != nil {
		return err
	}
	b := &boundVisitor{}
	ast.Walk(&tree.Node, b)
	return b.err
}

type boundVisitor struct{ err error }

// Visit implements ast.Visitor.
func (b *boundVisitor) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.BuiltinNode:
		b.refuse("the function " + n.Name)
	case *ast.CallNode:
		b.refuse("a call")
	case *ast.PredicateNode, *ast.PointerNode:
		b.refuse("a loop")
	case *ast.VariableDeclaratorNode, *ast.SequenceNode:
		b.refuse("a variable")
	case *ast.BinaryNode:
		if n.Operator == ".." || n.Operator == "**" || n.Operator == "^" {
			b.refuse("the operator " + n.Operator)
		}
	}
}

func (b *boundVisitor) refuse(what string) {
	if b.err == nil {
		b.err = fmt.Errorf("the program uses %s, which has no bounded cost", what)
	}
}
