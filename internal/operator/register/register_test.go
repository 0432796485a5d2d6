package register

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const registerText = `# from the asset register
kind,name,centre,address,watts,pool,width,group,rank,idle,draw
centre,riga-1,,,1000,,,,,,
entry,entry-1,riga-1,10.1.0.11:7400,,,,,,,
engine,desk-1,riga-1,10.1.0.21:7400,500,desk,8,moe,0,100,50
service,hold-1,riga-1,10.1.0.31:7400,100,hold,4,,,,
`

const rulesText = `{
	"format": "1.0", "revision": 3,
	"groups": [{"name": "moe", "experts": 8}],
	"workspaces": [{"name": "school", "priority": 2}],
	"routes": [
		{"name": "desk", "prefix": "/v1/desk", "pool": "desk", "stream": true, "timeout": "30s"},
		{"name": "hold", "prefix": "/v1/holds", "pool": "hold", "once": true, "timeout": "10s"},
	],
}`

func importTexts(register, rules string, revision int64) (text string, ok bool) {
	c, faults := Import(Options{
		Register: Source{Name: "a.csv", Data: []byte(register)}, Rules: Source{Name: "r.json", Data: []byte(rules)}, Revision: revision,
	})
	if len(faults) > 0 {
		return faults.Error(), false
	}
	data, err := c.Encode()
	return string(data), err == nil
}

func TestImport(t *testing.T) {
	is := is.New(t)
	text, ok := importTexts(registerText, rulesText, 9)
	is.True(ok)
	is.Equal(text, `{"format":"1.0","revision":9,"centres":[{"name":"riga-1","watts":1000}],`+
		`"entries":[{"name":"entry-1","centre":"riga-1","address":"10.1.0.11:7400"}],`+
		`"targets":[{"name":"desk-1","centre":"riga-1","kind":"engine","pool":"desk","address":"10.1.0.21:7400","width":8,"group":"moe","watts":500,"idle":100,"draw":50},`+
		`{"name":"hold-1","centre":"riga-1","kind":"service","pool":"hold","address":"10.1.0.31:7400","width":4,"watts":100}],`+
		`"groups":[{"name":"moe","experts":8}],"workspaces":[{"name":"school","priority":2}],`+
		`"routes":[{"name":"desk","prefix":"/v1/desk","pool":"desk","stream":true,"timeout":"30s"},{"name":"hold","prefix":"/v1/holds","pool":"hold","once":true,"timeout":"10s"}]}`)
}

func TestImportFaults(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{"kind,name", "kind,nam", `a.csv:2:6: nam: the column is not known; did you mean "name"?`},
		{"kind,name", "name,name", `a.csv:2:1: kind: the column is missing; add the column`},
		{"engine,desk-1", "engin,desk-1", `a.csv:5:1: kind: "engin" is not a kind of row; write centre, entry, engine or service`},
		{"10.1.0.21:7400", "10.1.0.21", `a.csv:5:22: address: "10.1.0.21" can't be read; write an IP address with a port such as 10.1.0.21:7400`},
		{"10.1.0.31:7400", "10.1.0.21:7400", `a.csv:6:23: targets[1].address: 10.1.0.21:7400 is the address of targets[0].address too; give each instance its own address`},
		{"desk-1,riga-1", "desk-1,riga-2", `a.csv:5:15: targets[0].centre: "riga-2" is not the name of a data centre; did you mean "riga-1"?`},
		{"500,desk,8", "500,desk,", `a.csv:5:46: width: the cell is empty; write the number of requests at once such as 8`},
		{"entry-1,riga-1,10.1.0.11:7400,", "entry-1,riga-1,10.1.0.11:7400,900", `a.csv:4:37: watts: a row of kind entry has no watts; leave the cell empty`},
		{"riga-1,,,1000", "riga-1,,,599", `a.csv:3:17: centres[0].watts: the targets' shares sum to 600 W, the cap is 599 W; lower the targets' shares`},
		{"4,,,,", "4,,,,,x", `a.csv:6:53: the row has 12 cells, the header 11; remove them or add columns to the header`},
		{"hold-1,", "hold\"1,", `a.csv:6:13: bare " in non-quoted-field; write a quote inside a cell twice and close it`},
		{"service,hold", "service,desk", `a.csv:6:9: targets[1].name: "desk-1" is used twice; choose another name`},
		{`"pool": "hold"`, `"pool": "hold2"`, `r.json:7:51: routes[1].pool: "hold2" is not the name of a pool with a target; did you mean "hold"?`},
		{`"experts"`, `"expert"`, `r.json:3:29: groups[0].expert: the key is not known; did you mean "experts"?`},
	}
	for _, test := range tests {
		register := strings.Replace(registerText, test.old, test.new, 1)
		rules := strings.Replace(rulesText, test.old, test.new, 1)
		text, ok := importTexts(register, rules, 0)
		if ok || !strings.Contains(text, test.want) {
			t.Errorf("want %s\ngot %s", test.want, text)
		}
	}
}

func TestImportNamesEveryBadRow(t *testing.T) {
	is := is.New(t)
	register := registerText + "engine,,riga-1,10.1.0.22:7400,0,desk,8\nentry,entry-2,riga-1,x\n"
	text, ok := importTexts(register, strings.Replace(rulesText, "10s", "10", 1), 0)
	is.True(!ok)
	for _, place := range []string{"a.csv:7:8: name:", "a.csv:8:22: address:", "r.json:7:84: routes[1].timeout:"} {
		if !strings.Contains(text, place) {
			t.Errorf("no fault at %s in\n%s", place, text)
		}
	}
	is.Equal(strings.Count(text, "\n")+1, 3) // one fault for each
}

func FuzzImport(f *testing.F) {
	f.Add(registerText, rulesText)
	f.Fuzz(func(t *testing.T, register, rules string) {
		text, ok := importTexts(register, rules, 0)
		if !ok && text == "" {
			t.Fatal("refused without a fault")
		}
	})
}
