.PHONY: test ci generate docs fmt fuzz measure

test:
	go test ./...

ci:
	bash .ci/run

generate:
	_scripts/generate.sh

docs:
	go run ./_scripts/gendocs
	go run ./_scripts/genreference

fmt:
	go tool gofumpt -w $$(git ls-files -- '*.go' ':!:*.pb.go')

fuzz:
	_scripts/fuzz.sh 30s

measure:
	@go run ./_scripts/measure
